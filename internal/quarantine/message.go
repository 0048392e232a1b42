package quarantine

// Message carries evidence and verdicts between nodes. It is idempotent: receiving it again
// changes nothing.
type Message struct {
	Node string `json:"n"` // the sender
	// Crashes is sent to the nodes that tally.
	Crashes []CrashReport `json:"e,omitempty"`
	// Successes is sent to them as well: the sender's successful runs of a request that was found
	// harmful.
	Successes *SuccessfulRuns `json:"s,omitempty"`
	// Queries is sent to all nodes: requests that are about to be found harmful. Nodes that have
	// seen successful runs of them report these.
	Queries []Fingerprint `json:"a,omitempty"`
	// PartQueries and PartSuccesses are the same for parts of prompts.
	PartQueries   []Part      `json:"ap,omitempty"`
	PartSuccesses *PartReport `json:"sp,omitempty"`
	// Found, Lifted and Released are sent to all nodes as well. Released requests are no longer
	// suspects; their crashes stay in the tallies.
	Found    []Verdict     `json:"v,omitempty"`
	Lifted   []Fingerprint `json:"l,omitempty"`
	Released []Fingerprint `json:"f,omitempty"`
}

// SuccessfulRuns is the number of recent successful runs of a request at a node.
type SuccessfulRuns struct {
	Fingerprint Fingerprint `json:"f"`
	Runs        int         `json:"k"`
}

// PartReport is the successful runs with a part of a prompt at a node.
type PartReport struct {
	Part Part `json:"i"`
	PartSuccesses
}

// itemsPerMessage bounds the crashes, runs and parts of one message: a crash or run takes up to 50
// bytes, and a packet up to 1,400.
const itemsPerMessage = 24

// packCrashes distributes crashes over messages of at most itemsPerMessage items.
func packCrashes(node string, crashes []CrashReport) []Message {
	var out []Message
	remaining := 0
	for _, e := range crashes {
		for len(e.Runs) > 0 {
			if remaining < 2 { // one item for the endpoint and one for a run
				out = append(out, Message{Node: node})
				remaining = itemsPerMessage
			}
			n, items := fittingRuns(e.Runs, remaining-1)
			if n == 0 {
				remaining = 0
				continue
			}
			last := &out[len(out)-1]
			last.Crashes = append(last.Crashes, CrashReport{e.Endpoint, e.Runs[:n], e.at})
			e.Runs, remaining = e.Runs[n:], remaining-1-items
		}
	}
	return out
}

// fittingRuns returns how many of the runs fit into a message with room for the given number of
// items, and the items that they take.
func fittingRuns(runs []Run, room int) (n, items int) {
	for _, r := range runs {
		size := 1 + len(r.Parts) + (len(r.Parts)+2)/3 // a part takes up to 60 bytes
		if items+size > room {
			break
		}
		n, items = n+1, items+size
	}
	return n, items
}
