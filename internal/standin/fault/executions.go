package fault

import (
	"maps"
	"net/http"
	"sync"
)

// Bound of the ids whose executions are remembered, first in first out.
const executionsKept = 500_000

// Executions counts how often each request ran. It is safe for concurrent use.
type Executions struct {
	mu    sync.Mutex
	count map[string]int
	order []string
}

// NewExecutions returns an empty count.
func NewExecutions() *Executions { return &Executions{count: make(map[string]int)} }

// Add counts one execution of id and returns how many there are now.
func (x *Executions) Add(id string) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	if _, ok := x.count[id]; !ok {
		if len(x.order) >= executionsKept {
			delete(x.count, x.order[0])
			x.order = x.order[1:]
		}
		x.order = append(x.order, id)
	}
	x.count[id]++
	return x.count[id]
}

// Count returns the executions of id.
func (x *Executions) Count(id string) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.count[id]
}

// All returns a copy of the counts.
func (x *Executions) All() map[string]int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return maps.Clone(x.count)
}

// ServeHTTP answers with the counts by id, or that of "?id=".
func (x *Executions) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.URL.Query().Get("id"); id != "" {
		Reply(w, http.StatusOK, map[string]int{id: x.Count(id)})
		return
	}
	Reply(w, http.StatusOK, x.All())
}
