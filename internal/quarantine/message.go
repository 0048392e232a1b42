package quarantine

// Message is what a node tells others of ends and of requests. All of it may be told
// again: what is known already changes nothing.
type Message struct {
	Node string `json:"n"` // that tells
	// Ends go to the nodes that tally.
	Ends []End `json:"e,omitempty"`
	// Sound goes to them too: how often a request ran well that was found harmful.
	Sound *SoundRuns `json:"s,omitempty"`
	// Ask, Found, Lifted and Released go to all nodes. Ask is about to be found: whoever
	// has seen such a request run well tells so. Released are suspects no more; what is
	// known of their ends stands.
	Ask      []Fingerprint `json:"a,omitempty"`
	Found    []Verdict     `json:"v,omitempty"`
	Lifted   []Fingerprint `json:"l,omitempty"`
	Released []Fingerprint `json:"f,omitempty"`
}

// SoundRuns is how many runs of a request ended well at a node, of late.
type SoundRuns struct {
	Fingerprint Fingerprint `json:"f"`
	Runs        int         `json:"k"`
}

// itemsPerMessage bounds the ends and runs of one message: an item takes up to 50 bytes,
// and a packet holds 1,400.
const itemsPerMessage = 24

// pack divides ends over messages.
func pack(node string, ends []End) []Message {
	var out []Message
	room := 0
	for _, e := range ends {
		for len(e.Runs) > 0 {
			if room < 2 { // the endpoint and a run
				out = append(out, Message{Node: node})
				room = itemsPerMessage
			}
			n := min(room-1, len(e.Runs))
			last := &out[len(out)-1]
			last.Ends = append(last.Ends, End{e.Endpoint, e.Runs[:n], e.at})
			e.Runs, room = e.Runs[n:], room-1-n
		}
	}
	return out
}
