package node

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"chervilloom/internal/explain"
	"chervilloom/internal/fleet"
	"chervilloom/internal/operator"
)

const (
	methodExplain = "explain"
	// explainTimeout bounds the wait for the other nodes' steps.
	explainTimeout = 2 * time.Second
	// explainConcurrency is the maximum number of concurrent calls to nodes.
	explainConcurrency = 32
)

// handleExplain returns this node's recorded steps of a subject to another node.
func (n *Node) handleExplain(_ context.Context, _ fleet.Node, subject []byte) ([]byte, error) {
	return json.Marshal(n.explainStore.Steps(string(subject)))
}

// Explain collects the recorded steps of the subject from all nodes. Nodes that
// do not answer are listed in Unreached, so that missing steps are not mistaken
// for no steps.
func (n *Node) Explain(ctx context.Context, subject string) operator.Explanation {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	e := operator.Explanation{Subject: subject, Steps: n.explainStore.Steps(subject)}
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, explainConcurrency)
	for _, vm := range n.liveNodes() {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			steps, err := n.fetchSteps(ctx, vm, subject)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				e.Unreached = append(e.Unreached, string(vm))
				return
			}
			e.Steps = append(e.Steps, steps...)
		})
	}
	wg.Wait()
	slices.SortStableFunc(e.Steps, func(a, b explain.Step) int { return a.At.Compare(b.At) })
	slices.SortFunc(e.Unreached, cmp.Compare)
	return e
}

func (n *Node) fetchSteps(ctx context.Context, vm fleet.VM, subject string) ([]explain.Step, error) {
	reply, err := n.mesh.Call(ctx, vm, methodExplain, []byte(subject))
	if err != nil {
		return nil, err
	}
	var steps []explain.Step
	return steps, json.Unmarshal(reply, &steps)
}
