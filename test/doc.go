// Package test contains end-to-end tests with real processes. Nodes and the
// stand-ins for the platform, the engines and the plain services run as
// separate processes, with fault-injecting proxies between them. The package
// contains only tests; docs/PROOFS.md lists them.
package test
