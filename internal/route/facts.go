package route

import (
	"chervilloom/internal/fleet"
	"chervilloom/internal/request"
)

// Facts is what a decision looks at in a request.
type Facts struct {
	Target       fleet.Target
	Service      string   // not empty: a plain-service call
	Prefix       []uint64 // hashes of the prompt's growing prefixes, shortest first
	PromptTokens int
	Hops         int // over 0: the own zone only
	Tried        []Tried
}

// FactsOf reads the facts of a request.
func FactsOf(req *request.Request, tried []Tried) Facts {
	f := Facts{Hops: req.Hops, Tried: tried}
	if req.Stage == request.StageKey {
		// The holder of a key or ticket chooses as if a caller had asked it: its
		// availability zone may lack what the request needs. It passes the
		// request on as StageDispatch, so that no request goes in circles.
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

// triedEntry reports whether the request has been to the entry.
func (f *Facts) triedEntry(e *entry) bool {
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

func (f *Facts) triedNode(n fleet.VM) bool {
	for i := range f.Tried {
		if f.Tried[i].Node == n {
			return true
		}
	}
	return false
}
