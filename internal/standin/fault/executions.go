package fault

import (
	"maps"
	"net/http"
	"sync"
)

// maxExecutionIDs bounds the ids whose executions are counted; the oldest are dropped
// first.
const maxExecutionIDs = 500_000

// Executions counts how often each request ran. It is safe for concurrent use.
type Executions struct {
	mu             sync.Mutex
	counts         map[string]int // by request id
	insertionOrder []string       // ids in order of their first execution
}

// NewExecutions returns Executions without any counts.
func NewExecutions() *Executions { return &Executions{counts: make(map[string]int)} }

// Add counts one execution of id and returns the new count.
func (x *Executions) Add(id string) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	if _, ok := x.counts[id]; !ok {
		if len(x.insertionOrder) >= maxExecutionIDs {
			delete(x.counts, x.insertionOrder[0])
			x.insertionOrder = x.insertionOrder[1:]
		}
		x.insertionOrder = append(x.insertionOrder, id)
	}
	x.counts[id]++
	return x.counts[id]
}

// Count returns the number of executions of id.
func (x *Executions) Count(id string) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.counts[id]
}

// All returns a copy of the counts by id.
func (x *Executions) All() map[string]int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return maps.Clone(x.counts)
}

// ServeHTTP replies with the counts by id as JSON, or only with that of "?id=".
func (x *Executions) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.URL.Query().Get("id"); id != "" {
		ReplyJSON(w, http.StatusOK, map[string]int{id: x.Count(id)})
		return
	}
	ReplyJSON(w, http.StatusOK, x.All())
}
