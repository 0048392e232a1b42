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
	// explainWait bounds the wait for the other nodes' memories.
	explainWait = 2 * time.Second
	// explainAtOnce bounds how many nodes are asked at the same time.
	explainAtOnce = 32
)

// handleExplain answers another node's question for the steps of a subject.
func (n *Node) handleExplain(_ context.Context, _ fleet.Node, subject []byte) ([]byte, error) {
	return json.Marshal(n.explained.Steps(string(subject)))
}

// Explain collects what all nodes remember of the subject. A node that does not
// answer is named, so that a gap is not taken for silence.
func (n *Node) Explain(ctx context.Context, subject string) operator.Explanation {
	ctx, cancel := context.WithTimeout(ctx, explainWait)
	defer cancel()
	e := operator.Explanation{Subject: subject, Steps: n.explained.Steps(subject)}
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, explainAtOnce)
	for _, vm := range n.liveNodes() {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			steps, err := n.askSteps(ctx, vm, subject)
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

func (n *Node) askSteps(ctx context.Context, vm fleet.VM, subject string) ([]explain.Step, error) {
	reply, err := n.mesh.Call(ctx, vm, methodExplain, []byte(subject))
	if err != nil {
		return nil, err
	}
	var steps []explain.Step
	return steps, json.Unmarshal(reply, &steps)
}
