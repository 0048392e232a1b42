// Package test proves what must always hold with real processes: nodes and
// stand-ins of the platform, the engines and the plain services run as
// processes of their own, with fault-injecting proxies between them. It holds
// tests only; docs/PROOFS.md lists them.
package test
