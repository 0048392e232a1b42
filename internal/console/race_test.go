package console

import (
	"errors"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chervilloom/internal/config"
	"chervilloom/internal/operator"
)

// Two operators edit the same revision. The second one to accept must see the
// first one's changes and be able to rebase, after which both changes are in
// force.
func TestConflictingDraftIsRebased(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet()
	srv := startServer(t, f)
	asha, omar := login(t, srv, ashaToken), login(t, srv, omarToken)
	first := asha.preview("organisations", "organisations[0].weight", "11")
	second := omar.preview("organisations", "organisations[1].weight", "22")
	is.Equal(asha.accept(first).path, "/console/revisions/2")

	page := omar.accept(second)
	is.Equal(page.status, http.StatusConflict)
	is.True(strings.Contains(page.body, "organisations[counters].weight")) // asha's
	is.True(strings.Contains(page.body, "organisations[timing].weight"))   // omar's
	is.True(strings.Contains(page.body, "by asha"))
	page = omar.post("/console/rebase", page.form(t, "/console/rebase"))
	is.Equal(page.status, http.StatusOK)
	is.Equal(omar.accept(page).path, "/console/revisions/3")
	orgs := f.currentDocument(t).Organisations
	is.Equal([]int{orgs[0].Weight, orgs[1].Weight}, []int{11, 22})
}

// Another operator's revision is accepted while this operator edits a form. The
// preview must show the conflict instead of a diff without the other change.
func TestPreviewDetectsNewerRevision(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet()
	b := login(t, startServer(t, f), ashaToken)
	form := setFields(b.get("/console/edit/organisations").form(t, "/console/edit"), "organisations[0].weight", "11", "go", "preview")
	f.addRevision(strings.Replace(testDocument, "weight: 20", "weight: 21", 1), "omar")
	page := b.post("/console/edit", form)
	is.Equal(page.status, http.StatusConflict)
	page = b.post("/console/rebase", page.form(t, "/console/rebase"))
	is.Equal(b.accept(page).path, "/console/revisions/3")
	is.Equal(f.currentDocument(t).Organisations[1].Weight, 21)
}

// Two operators change the same value. The second one must see both values, and
// neither may be preselected or used before a choice. Either choice must work.
func TestMergeConflictRequiresChoice(t *testing.T) {
	for choice, want := range map[side]int{sideMine: 22, sideTheirs: 21} {
		t.Run(string(choice), func(t *testing.T) {
			is := is.New(t)
			f := newFakeFleet()
			srv := startServer(t, f)
			asha, omar := login(t, srv, ashaToken), login(t, srv, omarToken)
			first := asha.preview("organisations", "organisations[1].weight", "21")
			second := omar.preview("organisations", "organisations[1].weight", "22", "organisations[0].weight", "12")
			asha.accept(first)
			page := omar.accept(second)
			page = omar.post("/console/rebase", page.form(t, "/console/rebase"))
			is.Equal(page.status, http.StatusConflict)
			is.True(!strings.Contains(page.body, " checked"))
			undecided := omar.post("/console/rebase", page.form(t, "/console/rebase"))
			is.Equal(undecided.status, http.StatusConflict)
			form := setFields(page.form(t, "/console/rebase"), "choice:organisations[timing].weight", string(choice))
			page = omar.post("/console/rebase", form)
			is.Equal(page.status, http.StatusOK)
			is.Equal(omar.accept(page).path, "/console/revisions/3")
			orgs := f.currentDocument(t).Organisations
			is.Equal([]int{orgs[0].Weight, orgs[1].Weight}, []int{12, want})
		})
	}
}

// Several browsers concurrently accept changes to different values and rebase on a
// conflict. Every change reported as accepted must be in the last revision.
func TestConcurrentEditsAreAllKept(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet()
	srv := startServer(t, f)
	fields := []string{
		"organisations[0].weight", "organisations[1].weight", "organisations[0].rate", "organisations[1].rate",
		"organisations[0].lookups", "organisations[1].lookups",
	}
	var wg sync.WaitGroup
	for _, field := range fields {
		b := login(t, srv, ashaToken)
		wg.Go(func() {
			page := b.preview("organisations", field, "77")
			for !strings.HasPrefix(page.path, "/console/revisions/") {
				if page.status == http.StatusConflict {
					page = b.post("/console/rebase", page.form(t, "/console/rebase"))
					continue
				}
				page = b.accept(page)
			}
		})
	}
	wg.Wait()
	is.Equal(len(f.revisions), 1+len(fields))
	for _, o := range f.currentDocument(t).Organisations {
		is.Equal(o.Weight, 77)
		is.Equal(o.Rate, 77.0)
		is.Equal(o.Lookups, 77.0)
	}
}

// loseAnswer replaces each result by an unknown one, as if the platform's answer
// were lost. The write may have been applied.
func loseAnswer(number uint64, attempt string) func(operator.ApplyResult) operator.ApplyResult {
	return func(operator.ApplyResult) operator.ApplyResult {
		return operator.ApplyResult{State: operator.ApplyUnknown, Revision: number, Attempt: attempt, Message: "the answer was lost"}
	}
}

func assertWritePending(t *testing.T, p response) {
	t.Helper()
	is := is.New(t)
	is.Equal(p.status, http.StatusAccepted)
	is.True(strings.Contains(p.body, "It is not known yet"))
	is.True(!strings.Contains(p.body, "ot accepted"))
	is.True(!strings.Contains(p.body, "In force on"))
	is.True(!strings.Contains(p.body, "came first"))
}

// A write is applied, its answer is lost, and the table cannot be read. The page
// must show "not known yet" until the history contains the attempt, and then the
// accepted revision, whether the operator checks again or sends the change again.
func TestLostAnswerOfAcceptedWrite(t *testing.T) {
	for _, way := range []string{"/console/attempt", "/console/accept"} {
		t.Run(way, func(t *testing.T) {
			is := is.New(t)
			f := newFakeFleet()
			b := login(t, startServer(t, f), ashaToken)
			f.overrideResult, f.historyErr = loseAnswer(2, "attempt-2"), errors.New("the table is down")
			page := b.accept(b.preview("organisations", "organisations[0].weight", "11"))
			assertWritePending(t, page)
			page = b.post("/console/attempt", page.form(t, "/console/attempt"))
			assertWritePending(t, page)
			// Sent again while the table cannot be read: the result of the
			// second write must not be shown as the result of the first.
			f.overrideResult = nil
			page = b.post("/console/accept", page.form(t, "/console/attempt"))
			assertWritePending(t, page)
			f.historyErr = nil
			page = b.post(way, page.form(t, "/console/attempt"))
			is.Equal(page.path, "/console/revisions/2")
			is.Equal(len(f.revisions), 2)
		})
	}
}

// A write is lost. While the history ends below its number, it may still be in
// flight. After another revision got the number, the page must show that the write
// was not accepted, and keep the operator's change for a rebase.
func TestLostAnswerOfWriteThatWasNotAccepted(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet()
	b := login(t, startServer(t, f), ashaToken)
	f.beforeWrite = func(*fakeFleet, operator.ApplyRequest) bool { return true }
	f.overrideResult = loseAnswer(2, "attempt-of-asha")
	page := b.accept(b.preview("organisations", "organisations[0].weight", "11"))
	assertWritePending(t, page)
	page = b.post("/console/attempt", page.form(t, "/console/attempt"))
	assertWritePending(t, page)
	f.overrideResult = nil
	page = b.post("/console/accept", page.form(t, "/console/attempt")) // the platform refuses the second write
	assertWritePending(t, page)

	f.beforeWrite = nil
	f.addRevision(strings.Replace(testDocument, "weight: 20", "weight: 21", 1), "omar")
	page = b.post("/console/attempt", page.form(t, "/console/attempt"))
	is.Equal(page.status, http.StatusConflict)
	page = b.post("/console/rebase", page.form(t, "/console/rebase"))
	is.Equal(b.accept(page).path, "/console/revisions/3")
	orgs := f.currentDocument(t).Organisations
	is.Equal([]int{orgs[0].Weight, orgs[1].Weight}, []int{11, 21})
}

// The platform is down before the write is sent. Nothing may change, and the page
// must keep the draft for a retry.
func TestRefusedApplyKeepsDraft(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet()
	b := login(t, startServer(t, f), ashaToken)
	f.beforeWrite = func(*fakeFleet, operator.ApplyRequest) bool { return true }
	page := b.accept(b.preview("organisations", "organisations[0].weight", "11"))
	is.Equal(page.status, http.StatusServiceUnavailable)
	f.beforeWrite = nil
	is.Equal(b.accept(page).path, "/console/revisions/2")
	is.Equal(f.currentDocument(t).Organisations[0].Weight, 11)
}

// Another revision is accepted while an operator reviews a rollback. The rollback
// was reviewed against the older revision and must not undo the newer one.
func TestRollBackRequiresSeenBase(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet()
	f.addRevision(strings.Replace(testDocument, "weight: 20", "weight: 21", 1), "omar")
	b := login(t, startServer(t, f), ashaToken)
	page := b.get("/console/rollback/1")
	is.True(strings.Contains(page.body, "organisations[timing].weight"))
	stale := page.form(t, "/console/rollback")
	f.addRevision(strings.Replace(testDocument, "weight: 10", "weight: 11", 1), "omar")
	is.Equal(b.post("/console/rollback", stale).status, http.StatusConflict)
	is.Equal(len(f.revisions), 3)

	page = b.post("/console/rollback", b.get("/console/rollback/1").form(t, "/console/rollback"))
	is.Equal(page.path, "/console/revisions/4")
	is.Equal(f.documents[3], testDocument)
}

// A revision propagates through the fleet. The page must show for each node
// whether it is in force, and reload until every node that is up has it.
func TestRevisionPageShowsNodes(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet()
	f.status.Nodes = []operator.NodeStatus{{Node: "entry-2", State: "alive", Revision: 0}, {Node: "entry-3", State: "dead"}}
	b := login(t, startServer(t, f), ashaToken)
	page := b.get("/console/revisions/1")
	is.True(strings.Contains(page.body, "Not yet in force everywhere"))
	is.True(strings.Contains(page.body, `http-equiv="refresh"`))
	f.status.Nodes[0].Revision = 1
	page = b.get("/console/revisions/1")
	is.True(strings.Contains(page.body, "In force on every node"))
	is.True(!strings.Contains(page.body, `http-equiv="refresh"`))
	is.Equal(b.get("/console/revisions/9").status, http.StatusNotFound)
}

// For any two edits of one base, every change made by one side only must be in
// the merged document, and every value changed differently must be a conflict.
func TestMergeKeepsEveryChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := drawDocument(t, "base")
		own, current := drawEdit(t, base, "own"), drawEdit(t, base, "current")
		res := merge(base, own, current, func(string) side { return "" })
		clashed := map[string]bool{}
		for _, c := range res.Clashes {
			clashed[c.Path] = true
		}
		want := map[string]string{}
		for _, c := range append(config.Diff(base, current), config.Diff(base, own)...) {
			want[c.Path+"="+c.Old+c.New] = c.Path
		}
		got := map[string]bool{}
		for _, c := range config.Diff(base, res.Document) {
			got[c.Path+"="+c.Old+c.New] = true
			if _, ok := want[c.Path+"="+c.Old+c.New]; !ok && !clashed[c.Path] {
				t.Fatalf("neither side made the change %s", c)
			}
		}
		for c, path := range want {
			if !got[c] && !clashed[path] && !clashed[path[:strings.IndexByte(path+"].", ']')+1]] {
				t.Fatalf("the change %s is lost; conflicts %v", c, res.Clashes)
			}
		}
	})
}

func drawDocument(t *rapid.T, label string) *config.Document {
	d := &config.Document{Version: 1}
	for _, name := range []string{"a", "b", "c", "d"} {
		if rapid.Bool().Draw(t, label+name) {
			d.Organisations = append(d.Organisations, config.Organisation{Name: name, Weight: 1})
		}
	}
	return d
}

// drawEdit draws an edit of base that changes weights, removes elements and appends
// one.
func drawEdit(t *rapid.T, base *config.Document, label string) *config.Document {
	d := &config.Document{Version: 1, Objective: config.Objective{DowntimeWeight: float64(rapid.IntRange(0, 2).Draw(t, label))}}
	for _, o := range base.Organisations {
		switch rapid.SampledFrom([]string{"keep", "change", "remove"}).Draw(t, label+o.Name) {
		case "keep":
			d.Organisations = append(d.Organisations, o)
		case "change":
			o.Weight = rapid.IntRange(2, 4).Draw(t, label+o.Name+"weight")
			d.Organisations = append(d.Organisations, o)
		}
	}
	if rapid.Bool().Draw(t, label+"add") {
		d.Organisations = append(d.Organisations, config.Organisation{Name: label, Weight: 1})
	}
	return d
}

func TestFindWriteState(t *testing.T) {
	history := []operator.Revision{{Number: 7, Attempt: "c"}, {Number: 6, Attempt: "b"}, {Number: 5}}
	for _, c := range []struct {
		name string
		try  unconfirmedWrite
		want writeState
	}{
		{"its row is there", unconfirmedWrite{6, "b"}, writeAccepted},
		{"another one has the number", unconfirmedWrite{6, "x"}, writeNotAccepted},
		{"the number is not given yet", unconfirmedWrite{8, "x"}, writePending},
		{"the history does not reach back", unconfirmedWrite{4, "x"}, writePending},
		{"the row names no attempt", unconfirmedWrite{5, "x"}, writePending},
	} {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(findWriteState(history, c.try), c.want) })
	}
}
