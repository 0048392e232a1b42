package console

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"html"
	"io"
	"log/slog"
	"net/http"
	"net/http/cookiejar"
	"net/http/httptest"
	"net/url"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/config"
	"chervilloom/internal/operator"
)

const (
	ashaToken  = "asha-token"
	omarToken  = "omar-token"
	callerKey  = "counter-key"
	testSecret = "a secret of the test fleet, all nodes"
)

const testDocument = `# of the counters
version: 1
organisations:
  - name: counters
    key_hashes: ["0eb7fef755d6bb1a5f44c2d121d8fee01463b82e569cdffa118d1681f2d3dd02"]
    weight: 10
  - name: timing
    key_hashes: ["9960da687ae3b5bf0087e1502e8fb831bd9d5dfd4f2b03093a59ad31c518e520"]
    weight: 20
models:
  - {name: clerk, current: "1.10", versions: ["1.10"], adapters: [rulings]}
groups:
  - {name: clerk, model: clerk, model_version: "1.10", adapters: [rulings], vms: 4, min: 1, max: 2, one_domain: true}
services:
  - {name: counter, not_repeatable: ["POST /receipts"], timeout: 5s}
objective: {downtime_weight: 10, stranding_weight: 1}
fence_checked: ["*"]
`

// fakeFleet accepts revisions in memory like revision.Keeper.
type fakeFleet struct {
	mu             sync.Mutex
	status         operator.Status
	explained      operator.Explanation
	revisions      []operator.Revision
	documents      []string
	drained        []string
	historyErr     error                                                     // error of History, as if the table were down
	overrideResult func(operator.ApplyResult) operator.ApplyResult           // replaces the result that the author receives; nil: none
	beforeWrite    func(f *fakeFleet, req operator.ApplyRequest) (drop bool) // runs before a write and may drop it; nil: none
}

func newFakeFleet() *fakeFleet {
	f := &fakeFleet{status: operator.Status{Node: "entry-1#1", Zone: "baneshwor", Ready: true}}
	f.addRevision(testDocument, "setup")
	return f
}

func (f *fakeFleet) addRevision(document, author string) operator.Revision {
	n := uint64(len(f.revisions) + 1)
	rev := operator.Revision{
		Number: n, Author: author, Time: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC),
		Hash: fmt.Sprintf("%016x", config.Hash([]byte(document))), Attempt: fmt.Sprintf("attempt-%d", n),
	}
	f.revisions, f.documents = append(f.revisions, rev), append(f.documents, document)
	f.status.Revision = n
	return rev
}

func (f *fakeFleet) Status() operator.Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.status
}

func (f *fakeFleet) Explain(_ context.Context, subject string) operator.Explanation {
	e := f.explained
	e.Subject = subject
	return e
}

func (f *fakeFleet) Config() operator.ConfigView {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.documents)
	if n == 0 {
		return operator.ConfigView{}
	}
	return operator.ConfigView{Revision: uint64(n), Document: f.documents[n-1]}
}

func (f *fakeFleet) ConfigAt(_ context.Context, n uint64) (operator.ConfigView, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n == 0 || n > uint64(len(f.documents)) {
		return operator.ConfigView{}, errors.New("no such revision")
	}
	return operator.ConfigView{Revision: n, Document: f.documents[n-1]}, nil
}

func (f *fakeFleet) Apply(_ context.Context, req operator.ApplyRequest, by string) operator.ApplyResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.beforeWrite != nil && f.beforeWrite(f, req) {
		return f.reply(operator.ApplyResult{State: operator.ApplyRefused, Message: "the platform's table cannot be reached; nothing changed"})
	}
	if ps := problemsOf(parseError(req.Document)); len(ps) > 0 {
		return operator.ApplyResult{State: operator.ApplyInvalid, Problems: []string{ps.Error()}}
	}
	if now := uint64(len(f.revisions)); req.Base != now {
		return f.reply(operator.ApplyResult{State: operator.ApplyConflict, Revision: now, Message: "another revision came first"})
	}
	rev := f.addRevision(req.Document, by)
	return f.reply(operator.ApplyResult{State: operator.ApplyAccepted, Revision: rev.Number})
}

func parseError(document string) error {
	_, err := config.Parse("", []byte(document))
	return err
}

func (f *fakeFleet) reply(res operator.ApplyResult) operator.ApplyResult {
	if f.overrideResult != nil {
		return f.overrideResult(res)
	}
	return res
}

func (f *fakeFleet) RollBack(ctx context.Context, base, to uint64, by string) operator.ApplyResult {
	v, err := f.ConfigAt(ctx, to)
	if err != nil {
		return operator.ApplyResult{State: operator.ApplyRefused, Message: err.Error()}
	}
	return f.Apply(ctx, operator.ApplyRequest{Base: base, Document: v.Document}, by)
}

func (f *fakeFleet) History(context.Context) ([]operator.Revision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.historyErr != nil {
		return nil, f.historyErr
	}
	var out []operator.Revision
	for i := len(f.revisions) - 1; i >= 0; i-- {
		out = append(out, f.revisions[i])
	}
	return out, nil
}

func (f *fakeFleet) Drain(_ context.Context, req operator.DrainRequest, _ string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drained = append(f.drained, string(req.VM))
	return nil
}

func hashOf(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

func testAuth() *operator.Authenticator {
	return operator.NewAuthenticator([]operator.Token{
		{Name: "asha", Hash: hashOf(ashaToken)}, {Name: "omar", Hash: hashOf(omarToken)},
	})
}

func newConsole(f operator.Fleet) http.Handler {
	return New(Options{Fleet: f, Auth: testAuth(), Secret: []byte(testSecret), Log: slog.New(slog.DiscardHandler)})
}

func startServer(t *testing.T, f operator.Fleet) *httptest.Server {
	srv := httptest.NewServer(newConsole(f))
	t.Cleanup(srv.Close)
	return srv
}

// browser is a client with a cookie jar that follows redirects and runs no script.
type browser struct {
	t    *testing.T
	base string
	http *http.Client
}

// response is a page that the browser received.
type response struct {
	status int
	path   string // after redirects
	body   string
	header http.Header
}

func newBrowser(t *testing.T, base string) *browser {
	jar, err := cookiejar.New(nil)
	is.New(t).NoErr(err)
	client := &http.Client{Jar: jar, Transport: &http.Transport{}, Timeout: time.Minute}
	t.Cleanup(client.CloseIdleConnections)
	return &browser{t: t, base: base, http: client}
}

func (b *browser) do(res *http.Response, err error) response {
	b.t.Helper()
	is := is.New(b.t)
	is.NoErr(err)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	is.NoErr(err)
	return response{res.StatusCode, res.Request.URL.Path, string(body), res.Header}
}

func (b *browser) get(path string) response {
	b.t.Helper()
	return b.do(b.http.Get(b.base + path))
}

func (b *browser) post(path string, form url.Values) response {
	b.t.Helper()
	return b.do(b.http.PostForm(b.base+path, form))
}

func (b *browser) login(token string) response {
	b.t.Helper()
	return b.post("/console/login", url.Values{"token": {token}})
}

func login(t *testing.T, srv *httptest.Server, token string) *browser {
	t.Helper()
	b := newBrowser(t, srv.URL)
	is.New(t).Equal(b.login(token).path, "/console/")
	return b
}

var (
	formTag   = regexp.MustCompile(`(?s)<form method="post" action="([^"]*)".*?</form>`)
	inputTag  = regexp.MustCompile(`<input ([^>]*)>`)
	areaTag   = regexp.MustCompile(`(?s)<textarea ([^>]*)>\n(.*?)</textarea>`)
	selectTag = regexp.MustCompile(`(?s)<select ([^>]*)>(.*?)</select>`)
	chosenTag = regexp.MustCompile(`<option value="([^"]*)" selected>`)
	attrTag   = regexp.MustCompile(`([a-z]+)="([^"]*)"`)
)

// form returns the values that a browser would send for the page's form with the
// given action: every control unchanged, with CR LF line ends.
func (p response) form(t *testing.T, action string) url.Values {
	t.Helper()
	for _, f := range formTag.FindAllStringSubmatch(p.body, -1) {
		if f[1] == action {
			return controls(f[0])
		}
	}
	t.Fatalf("the page at %s has no form that posts to %s:\n%s", p.path, action, p.body)
	return nil
}

func controls(form string) url.Values {
	out := url.Values{}
	for _, in := range inputTag.FindAllStringSubmatch(form, -1) {
		a := attrs(in[1])
		box := a["type"] == "checkbox" || a["type"] == "radio"
		switch {
		case box && !strings.HasSuffix(in[1], " checked") && !strings.Contains(in[1], " checked "):
		case box && a["value"] == "":
			out.Add(a["name"], "on")
		default:
			out.Add(a["name"], crlf(a["value"]))
		}
	}
	for _, area := range areaTag.FindAllStringSubmatch(form, -1) {
		out.Add(attrs(area[1])["name"], crlf(html.UnescapeString(area[2])))
	}
	for _, s := range selectTag.FindAllStringSubmatch(form, -1) {
		if v := chosenTag.FindStringSubmatch(s[2]); v != nil {
			out.Add(attrs(s[1])["name"], html.UnescapeString(v[1]))
		}
	}
	return out
}

func attrs(s string) map[string]string {
	out := map[string]string{}
	for _, a := range attrTag.FindAllStringSubmatch(s, -1) {
		out[a[1]] = html.UnescapeString(a[2])
	}
	return out
}

func crlf(s string) string { return strings.ReplaceAll(s, "\n", "\r\n") }

// setFields sets controls of the form to the given name and value pairs.
func setFields(form url.Values, pairs ...string) url.Values {
	for i := 0; i < len(pairs); i += 2 {
		form.Set(pairs[i], pairs[i+1])
	}
	return form
}
