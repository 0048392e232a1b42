package console

import (
	"fmt"
	"html"
	"net/http"
	"net/url"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"chervilloom/internal/config"
	"chervilloom/internal/explain"
	"chervilloom/internal/operator"
)

// preview sets fields of a part's form and requests the preview.
func (b *browser) preview(part string, pairs ...string) response {
	b.t.Helper()
	form := setFields(b.get("/console/edit/"+part).form(b.t, "/console/edit"), pairs...)
	return b.post("/console/edit", setFields(form, "go", "preview"))
}

func (b *browser) accept(p response) response {
	b.t.Helper()
	return b.post("/console/accept", p.form(b.t, "/console/accept"))
}

func (f *fakeFleet) currentDocument(t *testing.T) *config.Document {
	t.Helper()
	d, err := config.Parse("", []byte(f.documents[len(f.documents)-1]))
	is.New(t).NoErr(err)
	return d
}

// Every form submitted unchanged must yield the same document: no form may lose a
// value.
func TestUnchangedFormKeepsDocument(t *testing.T) {
	for _, p := range parts {
		t.Run(p.Key, func(t *testing.T) {
			is := is.New(t)
			f := newFakeFleet()
			b := login(t, startServer(t, f), ashaToken)
			page := b.preview(p.Key)
			is.Equal(page.status, http.StatusOK)
			is.True(strings.Contains(page.body, "No value changes."))
			before := f.currentDocument(t)
			is.Equal(b.accept(page).path, "/console/revisions/2")
			is.Equal(config.Diff(before, f.currentDocument(t)), nil)
		})
	}
}

func TestTextIsAcceptedUnchanged(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet()
	b := login(t, startServer(t, f), ashaToken)
	text := strings.Replace(testDocument, "weight: 20", "weight: 21 # more", 1)
	page := b.preview("text", "draft", crlf(text))
	is.True(strings.Contains(page.body, "organisations[timing].weight"))
	is.Equal(b.accept(page).path, "/console/revisions/2")
	is.Equal(f.documents[1], text)
	is.Equal(f.revisions[1].Author, "asha")
}

// A new deployment has no revision. The first document that is accepted becomes
// revision 1.
func TestFirstDocument(t *testing.T) {
	is := is.New(t)
	f := &fakeFleet{}
	b := login(t, startServer(t, f), ashaToken)
	is.Equal(b.get("/console/").status, http.StatusOK)
	is.Equal(b.get("/console/history").status, http.StatusOK)
	is.Equal(b.get("/console/edit/models").form(t, "/console/edit").Get("draft"), crlf(initialDocument))
	is.Equal(b.accept(b.preview("text", "draft", crlf(testDocument))).path, "/console/revisions/1")
	is.Equal(f.documents, []string{testDocument})
}

func TestAddAndRemoveElements(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet()
	b := login(t, startServer(t, f), ashaToken)
	page := b.preview("organisations",
		"remove:organisations[0]", "on",
		"organisations[2].name", "clubs", "organisations[2].weight", "5",
		"organisations[2].key_hashes", crlf(strings.Repeat("ab", 32)+"\n"+strings.Repeat("cd", 32)))
	is.Equal(page.status, http.StatusOK)
	is.Equal(b.accept(page).path, "/console/revisions/2")
	orgs := f.currentDocument(t).Organisations
	is.Equal(len(orgs), 2)
	is.Equal(orgs[0].Name, "timing")
	is.Equal(orgs[1].Name, "clubs")
	is.Equal(len(orgs[1].KeyHashes), 2)
}

// An operator renames a model, which is invalid until its group uses the new name.
// The draft must be kept from one part's form to the next until it is valid.
func TestEditAcrossParts(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet()
	b := login(t, startServer(t, f), ashaToken)
	page := b.preview("models", "models[0].name", "judge")
	is.Equal(page.status, http.StatusUnprocessableEntity)
	is.True(strings.Contains(page.body, "groups[0].model"))
	page = b.post("/console/edit", setFields(page.form(t, "/console/edit"), "go", "groups"))
	page = b.post("/console/edit", setFields(page.form(t, "/console/edit"), "groups[0].model", "judge", "go", "preview"))
	is.Equal(page.status, http.StatusOK)
	is.Equal(b.accept(page).path, "/console/revisions/2")
	is.Equal(f.currentDocument(t).Groups[0].Model, "judge")
}

// A form contains several mistakes. All of them must be shown next to their
// controls with line and remedy, the input must be kept, and nothing may be
// accepted.
func TestAllProblemsAreShown(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet()
	b := login(t, startServer(t, f), ashaToken)
	page := b.preview("organisations",
		"organisations[0].weight", "much", "organisations[0].key_hashes", "no-hash",
		"organisations[1].weight", "0", "organisations[1].priority", "1000")
	is.Equal(page.status, http.StatusUnprocessableEntity)
	for _, path := range []string{"organisations[0].weight", "organisations[0].key_hashes[0]", "organisations[1].weight", "organisations[1].priority"} {
		is.True(strings.Contains(page.body, "<code>"+path+"</code>"))
	}
	is.True(strings.Contains(page.body, `value="much"`))
	is.Equal(strings.Count(page.body, `aria-invalid="true"`), 4)
	is.Equal(len(regexp.MustCompile(`<div class="bad"[^>]*>line \d+: `).FindAllString(page.body, -1)), 4)

	wrong := "version: 1\norganisations:\n  - name: a b\n    weight: -1\nobjective: {}\nnonsense: 1\n"
	page = b.preview("text", "draft", wrong)
	is.Equal(page.status, http.StatusUnprocessableEntity)
	for _, p := range problemsOf(parseError(wrong)) {
		is.True(strings.Contains(html.UnescapeString(page.body), p.Message))
		is.True(strings.Contains(html.UnescapeString(page.body), p.Remedy))
		is.True(strings.Contains(page.body, fmt.Sprintf("line %d: ", p.Line)))
	}
	is.Equal(len(f.revisions), 1)
}

// Names in a document come from its author, and reasons and states from other
// processes. A name that contains a script must be escaped on the page.
func TestNamesAreEscaped(t *testing.T) {
	const evil = `"><script>alert(1)</script>`
	f := newFakeFleet()
	f.addRevision(strings.ReplaceAll(testDocument, "clerk", "x"), evil)
	f.status.Node, f.status.NotReady, f.status.Ready = evil, evil, false
	f.status.Nodes = []operator.NodeStatus{{Node: evil, State: evil}}
	f.status.Groups = []operator.GroupStatus{{Group: evil, Reason: evil, Model: evil, VMs: []string{evil}}}
	f.status.Endpoints = []operator.EndpointStatus{{VM: evil, State: evil, Group: evil, Domain: evil}}
	f.status.Duties = []operator.DutyStatus{{Duty: evil}, {Duty: "groups/z", Held: true}}
	f.status.Limits = []operator.LimitStatus{{Organisation: evil, Rate: 50, RateShare: 0.5}}
	f.explained = operator.Explanation{Unreached: []string{evil}, Steps: []explain.Step{
		{Stage: evil, Decision: evil, Reason: evil, Node: evil, Facts: []explain.Fact{{Name: evil, Value: evil}}},
	}}
	b := login(t, startServer(t, f), ashaToken)
	q := url.QueryEscape(evil)
	for _, p := range []response{
		b.get("/console/"), b.get("/console/explain?id=" + q), b.get("/console/drain?vm=" + q), b.get("/console/drain"),
		b.get("/console/history"), b.get("/console/revisions/2"), b.get("/console/rollback/1"), b.get("/console/edit/" + q),
		b.preview("text", "draft", "organisations: [{name: '"+evil+"'}]"),
		b.preview("organisations", "organisations[0].name", evil, "organisations[0].key_hashes", evil, "organisations[0].weight", evil),
	} {
		is.New(t).True(!strings.Contains(p.body, "<script"))
		is.New(t).True(p.status != http.StatusInternalServerError)
	}
}

// A node does not probe the endpoints of other availability zones. The overview
// must not show them as warnings, which would hide the real ones.
func TestEndpointsOfOtherZonesAreNoWarning(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet()
	f.status.Endpoints = []operator.EndpointStatus{{VM: "engine-1", State: "elsewhere", Zone: "lalitpur", SeenAgo: -1}}
	b := login(t, startServer(t, f), ashaToken)
	page := b.get("/console/").body
	is.True(strings.Contains(page, "watched in lalitpur"))
	f.status.Endpoints[0].State = "failing"
	is.True(strings.Contains(b.get("/console/").body, `<span class="warn">failing</span>`))
	is.True(!strings.Contains(page, `<span class="warn">elsewhere`))
}

func TestDrainRequiresConfirmation(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet()
	f.status.Endpoints = []operator.EndpointStatus{{VM: "engine-1", State: "present"}}
	b := login(t, startServer(t, f), ashaToken)
	form := b.get("/console/drain?vm=engine-1").form(t, "/console/drain")
	is.Equal(b.post("/console/drain", form).status, http.StatusUnprocessableEntity)
	is.Equal(len(f.drained), 0)
	is.Equal(b.post("/console/drain", setFields(form, "sure", "on")).status, http.StatusOK)
	is.Equal(f.drained, []string{"engine-1"})
	is.Equal(b.get("/console/drain?vm=other").status, http.StatusNotFound)
}
