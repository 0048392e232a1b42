// Package links tests nodes that lose their links to the endpoints while clients, the store and
// the other nodes still reach them. The nodes run in the test's process, so that each of them can
// be given links of its own.
package links
