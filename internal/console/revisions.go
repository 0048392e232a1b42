package console

import (
	"context"
	"net/http"
	"strconv"

	"chervilloom/internal/config"
	"chervilloom/internal/operator"
)

// change is a difference between two documents.
type change = config.Change

func diff(a, b *config.Document) []change { return config.Diff(a, b) }

func formatNumber(n uint64) string { return strconv.FormatUint(n, 10) }

// storedRevision is the text and the parsed document of a revision.
type storedRevision struct {
	text     string
	document *config.Document
}

// loadRevision returns a revision by number. Revision 0 is the empty document.
func (c *console) loadRevision(ctx context.Context, n uint64) (storedRevision, error) {
	if n == 0 {
		return storedRevision{document: &config.Document{}}, nil
	}
	v, err := c.fleet.ConfigAt(ctx, n)
	if err != nil {
		return storedRevision{}, err
	}
	doc, err := config.Parse("", []byte(v.Document))
	return storedRevision{text: v.Document, document: doc}, err
}

type historyPage struct {
	InForce   uint64
	Revisions []operator.Revision
}

func (c *console) history(w http.ResponseWriter, r *http.Request, s session) {
	h, err := c.fleet.History(r.Context())
	if err != nil {
		c.showError(w, s, http.StatusServiceUnavailable, "The history is in the platform's table, which cannot be read now: "+err.Error()+". The configuration in force is not touched by that. Try again when the platform is back.")
		return
	}
	c.render(w, http.StatusOK, "history", pageView{
		Title: "History", Data: historyPage{InForce: c.fleet.Config().Revision, Revisions: h},
	}.withSession(s))
}

// nodeRevision is the revision of a node and whether it includes the one shown.
type nodeRevision struct {
	Node     string
	Zone     string
	State    string
	Revision uint64
	InForce  bool
}

type revisionPage struct {
	Number     uint64
	Known      bool               // this node or the table has it
	Record     *operator.Revision // nil: the table cannot be read or no longer has it
	Nodes      []nodeRevision
	Everywhere bool // in force on every node that is not dead
	Changes    []change
	Document   string
}

// propagationRefreshSeconds is the reload interval until a revision is in force on
// every node.
const propagationRefreshSeconds = 2

// revision shows a revision and the nodes on which it is in force. A node with a
// higher revision counts, because higher revisions build on lower ones.
func (c *console) revision(w http.ResponseWriter, r *http.Request, s session) {
	n, err := strconv.ParseUint(r.PathValue("number"), 10, 64)
	if err != nil || n == 0 {
		c.showError(w, s, http.StatusNotFound, "There is no revision with this number. Take one from the history.")
		return
	}
	data := revisionPage{Number: n, Record: c.historyEntry(r.Context(), n)}
	data.Nodes, data.Everywhere = listNodeRevisions(c.fleet.Status(), n)
	if rev, err := c.loadRevision(r.Context(), n); err == nil {
		data.Known, data.Document = true, rev.text
		if before, err := c.loadRevision(r.Context(), n-1); err == nil {
			data.Changes = diff(before.document, rev.document)
		}
	}
	v := pageView{Title: "Revision " + formatNumber(n), Data: data}
	status := http.StatusOK
	if !data.Known {
		status = http.StatusNotFound
	}
	if data.Known && !data.Everywhere {
		v.Refresh = propagationRefreshSeconds
	}
	c.render(w, status, "revision", v.withSession(s))
}

// historyEntry returns the history entry of revision n, or nil if there is none.
func (c *console) historyEntry(ctx context.Context, n uint64) *operator.Revision {
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

// nodeDead is the state of a node that a revision need not reach.
const nodeDead = "dead"

// listNodeRevisions returns the revision of each node, and whether revision n is
// in force on every node that is not dead.
func listNodeRevisions(st operator.Status, n uint64) (nodes []nodeRevision, everywhere bool) {
	nodes = []nodeRevision{{Node: st.Node, Zone: st.Zone, State: "this node", Revision: st.Revision, InForce: st.Revision >= n}}
	everywhere = st.Revision >= n
	for _, o := range st.Nodes {
		f := nodeRevision{Node: o.Node, Zone: o.Zone, State: o.State, Revision: o.Revision, InForce: o.Revision >= n}
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

// rollBackForm shows the changes of a rollback. The form contains the revision in
// force when it was rendered, so that the rollback does not undo a newer one that
// the operator has not seen.
func (c *console) rollBackForm(w http.ResponseWriter, r *http.Request, s session) {
	to, err := strconv.ParseUint(r.PathValue("number"), 10, 64)
	if err != nil {
		c.showError(w, s, http.StatusNotFound, "There is no revision with this number. Take one from the history.")
		return
	}
	base := c.fleet.Config().Revision
	old, err := c.loadRevision(r.Context(), to)
	if err != nil {
		c.showError(w, s, http.StatusServiceUnavailable, "Revision "+formatNumber(to)+" cannot be read: "+err.Error())
		return
	}
	now, err := c.loadRevision(r.Context(), base)
	if err != nil {
		c.showError(w, s, http.StatusServiceUnavailable, "Revision "+formatNumber(base)+" cannot be read: "+err.Error())
		return
	}
	c.render(w, http.StatusOK, "rollback", pageView{Title: "Roll back to revision " + formatNumber(to), Data: rollBackPage{
		Base: base, To: to, Changes: diff(now.document, old.document),
	}}.withSession(s))
}

func (c *console) rollBack(w http.ResponseWriter, r *http.Request, s session) {
	base, errBase := strconv.ParseUint(r.PostForm.Get("base"), 10, 64)
	to, errTo := strconv.ParseUint(r.PostForm.Get("to"), 10, 64)
	if errBase != nil || errTo != nil {
		c.showError(w, s, http.StatusBadRequest, "The form names no revision. Start from the history again.")
		return
	}
	ctx, cancel := detachContext(r.Context())
	defer cancel()
	old, err := c.fleet.ConfigAt(ctx, to)
	if err != nil {
		c.showError(w, s, http.StatusServiceUnavailable, "Revision "+formatNumber(to)+" cannot be read, nothing changed: "+err.Error())
		return
	}
	res := c.fleet.RollBack(ctx, base, to, s.operator)
	c.log.Info("configuration rollback finished", "operator", s.operator, "base", base, "to", to,
		"state", res.State, "revision", res.Revision, "message", res.Message)
	c.showResult(w, r, s, draft{Base: base, Text: old.Document}, res)
}
