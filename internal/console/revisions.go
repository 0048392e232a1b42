package console

import (
	"context"
	"net/http"
	"strconv"

	"chervilloom/internal/config"
	"chervilloom/internal/operator"
)

// change is one difference as a page shows it.
type change = config.Change

func diff(a, b *config.Document) []change { return config.Diff(a, b) }

func number(n uint64) string { return strconv.FormatUint(n, 10) }

// stored is a revision with its document read.
type stored struct {
	text     string
	document *config.Document
}

// at returns a revision; the one numbered 0 is empty.
func (c *console) at(ctx context.Context, n uint64) (stored, error) {
	if n == 0 {
		return stored{document: &config.Document{}}, nil
	}
	v, err := c.fleet.ConfigAt(ctx, n)
	if err != nil {
		return stored{}, err
	}
	doc, err := config.Parse("", []byte(v.Document))
	return stored{text: v.Document, document: doc}, err
}

type historyPage struct {
	InForce   uint64
	Revisions []operator.Revision
}

func (c *console) history(w http.ResponseWriter, r *http.Request, s session) {
	h, err := c.fleet.History(r.Context())
	if err != nil {
		c.fail(w, s, http.StatusServiceUnavailable, "The history is in the platform's table, which cannot be read now: "+err.Error()+". The configuration in force is not touched by that. Try again when the platform is back.")
		return
	}
	c.render(w, http.StatusOK, "history", view{
		Title: "History", Data: historyPage{InForce: c.fleet.Config().Revision, Revisions: h},
	}.in(s))
}

// nodeForce tells whether a revision is in force on a node.
type nodeForce struct {
	Node     string
	Zone     string
	State    string
	Revision uint64
	InForce  bool
}

type revisionPage struct {
	Number     uint64
	Known      bool               // this node or the table holds it
	Record     *operator.Revision // nil: the table cannot be read or no longer holds it
	Nodes      []nodeForce
	Everywhere bool // on every node that is not dead
	Changes    []change
	Document   string
}

// followSeconds is how often the browser asks again while a revision spreads.
const followSeconds = 2

// revision shows a revision and where it is in force. A revision stays in force
// in the higher ones that were built on it.
func (c *console) revision(w http.ResponseWriter, r *http.Request, s session) {
	n, err := strconv.ParseUint(r.PathValue("number"), 10, 64)
	if err != nil || n == 0 {
		c.fail(w, s, http.StatusNotFound, "There is no revision with this number. Take one from the history.")
		return
	}
	data := revisionPage{Number: n, Record: c.record(r.Context(), n)}
	data.Nodes, data.Everywhere = spread(c.fleet.Status(), n)
	if rev, err := c.at(r.Context(), n); err == nil {
		data.Known, data.Document = true, rev.text
		if before, err := c.at(r.Context(), n-1); err == nil {
			data.Changes = diff(before.document, rev.document)
		}
	}
	v := view{Title: "Revision " + number(n), Data: data}
	status := http.StatusOK
	if !data.Known {
		status = http.StatusNotFound
	}
	if data.Known && !data.Everywhere {
		v.Refresh = followSeconds
	}
	c.render(w, status, "revision", v.in(s))
}

// record returns the line of the history for a number, nil when there is none.
func (c *console) record(ctx context.Context, n uint64) *operator.Revision {
	h, err := c.fleet.History(ctx)
	if err != nil {
		return nil
	}
	for i := range h {
		if h[i].Number == n {
			return &h[i]
		}
	}
	return nil
}

// nodeDead is the state of a node that is not waited for.
const nodeDead = "dead"

// spread returns where revision n is in force, and whether every node that is
// not dead has it.
func spread(st operator.Status, n uint64) (nodes []nodeForce, everywhere bool) {
	nodes = []nodeForce{{Node: st.Node, Zone: st.Zone, State: "this node", Revision: st.Revision, InForce: st.Revision >= n}}
	everywhere = st.Revision >= n
	for _, o := range st.Nodes {
		f := nodeForce{Node: o.Node, Zone: o.Zone, State: o.State, Revision: o.Revision, InForce: o.Revision >= n}
		nodes = append(nodes, f)
		if !f.InForce && o.State != nodeDead {
			everywhere = false
		}
	}
	return nodes, everywhere
}

type rollBackPage struct {
	Base    uint64
	To      uint64
	Changes []change
}

// rollBackForm shows what a roll back changes. The form holds the revision that
// was in force then, so that a newer one is not undone unseen.
func (c *console) rollBackForm(w http.ResponseWriter, r *http.Request, s session) {
	to, err := strconv.ParseUint(r.PathValue("number"), 10, 64)
	if err != nil {
		c.fail(w, s, http.StatusNotFound, "There is no revision with this number. Take one from the history.")
		return
	}
	base := c.fleet.Config().Revision
	old, err := c.at(r.Context(), to)
	if err != nil {
		c.fail(w, s, http.StatusServiceUnavailable, "Revision "+number(to)+" cannot be read: "+err.Error())
		return
	}
	now, err := c.at(r.Context(), base)
	if err != nil {
		c.fail(w, s, http.StatusServiceUnavailable, "Revision "+number(base)+" cannot be read: "+err.Error())
		return
	}
	c.render(w, http.StatusOK, "rollback", view{Title: "Roll back to revision " + number(to), Data: rollBackPage{
		Base: base, To: to, Changes: diff(now.document, old.document),
	}}.in(s))
}

func (c *console) rollBack(w http.ResponseWriter, r *http.Request, s session) {
	base, errBase := strconv.ParseUint(r.PostForm.Get("base"), 10, 64)
	to, errTo := strconv.ParseUint(r.PostForm.Get("to"), 10, 64)
	if errBase != nil || errTo != nil {
		c.fail(w, s, http.StatusBadRequest, "The form names no revision. Start from the history again.")
		return
	}
	ctx, cancel := finish(r.Context())
	defer cancel()
	old, err := c.fleet.ConfigAt(ctx, to)
	if err != nil {
		c.fail(w, s, http.StatusServiceUnavailable, "Revision "+number(to)+" cannot be read, nothing changed: "+err.Error())
		return
	}
	res := c.fleet.RollBack(ctx, base, to, s.operator)
	c.log.Info("configuration rolled back", "operator", s.operator, "base", base, "to", to,
		"state", res.State, "revision", res.Revision, "message", res.Message)
	c.outcome(w, r, s, draft{Base: base, Text: old.Document}, res)
}
