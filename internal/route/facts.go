package route

import (
	"chervilloom/internal/fleet"
	"chervilloom/internal/request"
)

// Facts holds the properties of a request that a decision uses.
type Facts struct {
	Target       fleet.Target
	Service      string   // set for a plain-service call
	Prefix       []uint64 // hashes of the prompt's prefixes, shortest first
	PromptTokens int
	Hops         int // above 0: only this zone may be chosen
	Tried        []TriedDestination
}

// NewFacts returns the facts of a request.
func NewFacts(req *request.Request, tried []TriedDestination) Facts {
	f := Facts{Hops: req.Hops, Tried: tried}
	if req.Stage == request.StageKey {
		// The node that holds a key or ticket routes like the first node, because
		// its zone may not carry what the request needs. It forwards the request
		// as StageDispatch, which prevents routing loops.
		f.Hops = 0
	}
	if req.Class == request.ClassModel {
		f.Target = req.Target
		f.Prefix = req.Prefix
		f.PromptTokens = req.PromptTokens
		return f
	}
	f.Service = req.Service
	return f
}

// hasTriedEntry reports whether the entry is among the tried destinations.
func (f *Facts) hasTriedEntry(e *entry) bool {
	for i := range f.Tried {
		t := &f.Tried[i]
		if e.group != nil {
			if t.Group == e.group.ID || t.VM != "" && t.VM == e.group.Members[0].VM {
				return true
			}
			continue
		}
		if t.VM == e.vm.Record.VM {
			return true
		}
	}
	return false
}

func (f *Facts) hasTriedNode(n fleet.VM) bool {
	for i := range f.Tried {
		if f.Tried[i].Node == n {
			return true
		}
	}
	return false
}
