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

// Two operators edit from the same revision. The second to accept is told what
// the first changed, applies the own change onto it, and both are in force.
func TestSecondOperatorRebases(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet()
	srv := serve(t, f)
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
	orgs := f.newest(t).Organisations
	is.Equal([]int{orgs[0].Weight, orgs[1].Weight}, []int{11, 22})
}

// Another operator accepts while this one fills in a form. The preview already
// says so, instead of a difference that leaves the other's change out.
func TestPreviewShowsThatAnotherWasFirst(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet()
	b := login(t, serve(t, f), ashaToken)
	form := with(b.get("/console/edit/organisations").form(t, "/console/edit"), "organisations[0].weight", "11", "go", "preview")
	f.put(strings.Replace(testDocument, "weight: 20", "weight: 21", 1), "omar")
	page := b.post("/console/edit", form)
	is.Equal(page.status, http.StatusConflict)
	page = b.post("/console/rebase", page.form(t, "/console/rebase"))
	is.Equal(b.accept(page).path, "/console/revisions/3")
	is.Equal(f.newest(t).Organisations[1].Weight, 21)
}

// Both change the same value. The second one is shown both values and nothing
// stands before the choice is made; either choice is taken.
func TestSameValueIsDecidedByThePerson(t *testing.T) {
	for choice, want := range map[side]int{mine: 22, theirs: 21} {
		t.Run(string(choice), func(t *testing.T) {
			is := is.New(t)
			f := newFakeFleet()
			srv := serve(t, f)
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
			form := with(page.form(t, "/console/rebase"), "choice:organisations[timing].weight", string(choice))
			page = omar.post("/console/rebase", form)
			is.Equal(page.status, http.StatusOK)
			is.Equal(omar.accept(page).path, "/console/revisions/3")
			orgs := f.newest(t).Organisations
			is.Equal([]int{orgs[0].Weight, orgs[1].Weight}, []int{12, want})
		})
	}
}

// Many browsers accept changes to different values at the same time, each from
// the revision it saw, and rebase when another came first. Every change told as
// accepted is in the last revision.
func TestRacingFormsLoseNothing(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet()
	srv := serve(t, f)
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
	for _, o := range f.newest(t).Organisations {
		is.Equal(o.Weight, 77)
		is.Equal(o.Rate, 77.0)
		is.Equal(o.Lookups, 77.0)
	}
}

// lost makes the platform's answers unreadable: the write may have landed.
func lost(number uint64, attempt string) func(operator.ApplyResult) operator.ApplyResult {
	return func(operator.ApplyResult) operator.ApplyResult {
		return operator.ApplyResult{State: operator.ApplyUnknown, Revision: number, Attempt: attempt, Message: "the answer was lost"}
	}
}

func assertOpen(t *testing.T, p shown) {
	t.Helper()
	is := is.New(t)
	is.Equal(p.status, http.StatusAccepted)
	is.True(strings.Contains(p.body, "It is not known yet"))
	is.True(!strings.Contains(p.body, "ot accepted"))
	is.True(!strings.Contains(p.body, "In force on"))
	is.True(!strings.Contains(p.body, "came first"))
}

// An operator accepts a change, the write lands and its answer is lost; then the
// table cannot be read. The page says "not known yet" until the history shows
// the attempt, and then that it was accepted, whichever way the operator takes.
func TestLostAnswerOfAWriteThatLanded(t *testing.T) {
	for _, way := range []string{"/console/attempt", "/console/accept"} {
		t.Run(way, func(t *testing.T) {
			is := is.New(t)
			f := newFakeFleet()
			b := login(t, serve(t, f), ashaToken)
			f.answer, f.down = lost(2, "attempt-2"), errors.New("the table is down")
			page := b.accept(b.preview("organisations", "organisations[0].weight", "11"))
			assertOpen(t, page)
			page = b.post("/console/attempt", page.form(t, "/console/attempt"))
			assertOpen(t, page)
			// Sent again while nothing can be read: the second try's own end
			// must not be told as the end of the change.
			f.answer = nil
			page = b.post("/console/accept", page.form(t, "/console/attempt"))
			assertOpen(t, page)
			f.down = nil
			page = b.post(way, page.form(t, "/console/attempt"))
			is.Equal(page.path, "/console/revisions/2")
			is.Equal(len(f.revisions), 2)
		})
	}
}

// The write never landed. While the history ends below its number it may still
// be on its way; when another revision took the number it is known not to be
// accepted, and the operator's change is still there to be applied again.
func TestLostAnswerOfAWriteThatDidNotLand(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet()
	b := login(t, serve(t, f), ashaToken)
	f.before = func(*fakeFleet, operator.ApplyRequest) bool { return true }
	f.answer = lost(2, "attempt-of-asha")
	page := b.accept(b.preview("organisations", "organisations[0].weight", "11"))
	assertOpen(t, page)
	page = b.post("/console/attempt", page.form(t, "/console/attempt"))
	assertOpen(t, page)
	f.answer = nil
	page = b.post("/console/accept", page.form(t, "/console/attempt")) // the platform refuses the second try
	assertOpen(t, page)

	f.before = nil
	f.put(strings.Replace(testDocument, "weight: 20", "weight: 21", 1), "omar")
	page = b.post("/console/attempt", page.form(t, "/console/attempt"))
	is.Equal(page.status, http.StatusConflict)
	page = b.post("/console/rebase", page.form(t, "/console/rebase"))
	is.Equal(b.accept(page).path, "/console/revisions/3")
	orgs := f.newest(t).Organisations
	is.Equal([]int{orgs[0].Weight, orgs[1].Weight}, []int{11, 21})
}

// The platform is down before anything is sent: nothing changed, and what was
// written stays in the page for the next try.
func TestRefusedKeepsTheDraft(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet()
	b := login(t, serve(t, f), ashaToken)
	f.before = func(*fakeFleet, operator.ApplyRequest) bool { return true }
	page := b.accept(b.preview("organisations", "organisations[0].weight", "11"))
	is.Equal(page.status, http.StatusServiceUnavailable)
	f.before = nil
	is.Equal(b.accept(page).path, "/console/revisions/2")
	is.Equal(f.newest(t).Organisations[0].Weight, 11)
}

// An operator looks at a roll back; before it is confirmed another revision is
// accepted. The roll back was seen against the older one and must not undo it.
func TestRollBackIsANewRevisionOfTheBaseThatWasSeen(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet()
	f.put(strings.Replace(testDocument, "weight: 20", "weight: 21", 1), "omar")
	b := login(t, serve(t, f), ashaToken)
	page := b.get("/console/rollback/1")
	is.True(strings.Contains(page.body, "organisations[timing].weight"))
	stale := page.form(t, "/console/rollback")
	f.put(strings.Replace(testDocument, "weight: 10", "weight: 11", 1), "omar")
	is.Equal(b.post("/console/rollback", stale).status, http.StatusConflict)
	is.Equal(len(f.revisions), 3)

	page = b.post("/console/rollback", b.get("/console/rollback/1").form(t, "/console/rollback"))
	is.Equal(page.path, "/console/revisions/4")
	is.Equal(f.documents[3], testDocument)
}

// A revision is accepted and spreads. The page tells node by node where it is in
// force, and asks again until no node that is up lacks it.
func TestWhereARevisionIsInForce(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet()
	f.status.Nodes = []operator.NodeStatus{{Node: "entry-2", State: "alive", Revision: 0}, {Node: "entry-3", State: "dead"}}
	b := login(t, serve(t, f), ashaToken)
	page := b.get("/console/revisions/1")
	is.True(strings.Contains(page.body, "Not yet in force everywhere"))
	is.True(strings.Contains(page.body, `http-equiv="refresh"`))
	f.status.Nodes[0].Revision = 1
	page = b.get("/console/revisions/1")
	is.True(strings.Contains(page.body, "In force on every node"))
	is.True(!strings.Contains(page.body, `http-equiv="refresh"`))
	is.Equal(b.get("/console/revisions/9").status, http.StatusNotFound)
}

// For any two edits of one base: every change that one side alone made is in the
// merged document, and what both made differently is a clash.
func TestMergeKeepsEveryChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := documentOf(t, "base")
		own, current := edited(t, base, "own"), edited(t, base, "current")
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
				t.Fatalf("nobody made the change %s", c)
			}
		}
		for c, path := range want {
			if !got[c] && !clashed[path] && !clashed[path[:strings.IndexByte(path+"].", ']')+1]] {
				t.Fatalf("the change %s is lost; clashes %v", c, res.Clashes)
			}
		}
	})
}

func documentOf(t *rapid.T, label string) *config.Document {
	d := &config.Document{Version: 1}
	for _, name := range []string{"a", "b", "c", "d"} {
		if rapid.Bool().Draw(t, label+name) {
			d.Organisations = append(d.Organisations, config.Organisation{Name: name, Weight: 1})
		}
	}
	return d
}

// edited changes weights, removes elements and adds them at the end.
func edited(t *rapid.T, base *config.Document, label string) *config.Document {
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

func TestFate(t *testing.T) {
	history := []operator.Revision{{Number: 7, Attempt: "c"}, {Number: 6, Attempt: "b"}, {Number: 5}}
	for _, c := range []struct {
		name string
		try  try
		want fate
	}{
		{"its row is there", try{6, "b"}, fateAccepted},
		{"another one has the number", try{6, "x"}, fateNotAccepted},
		{"the number is not given yet", try{8, "x"}, fateOpen},
		{"the history does not reach back", try{4, "x"}, fateOpen},
		{"the row names no attempt", try{5, "x"}, fateOpen},
	} {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(fateOf(history, c.try), c.want) })
	}
}
