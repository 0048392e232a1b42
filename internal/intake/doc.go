// Package intake bounds the connections of clients that a node takes on at a time. A node that gets
// more new connections than it can serve keeps the newest of them waiting and closes the others
// unread, so that their clients go to another node at once, while the requests that it has read are
// served at full pace.
package intake
