package identify

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"chervilloom/internal/clock"
	"chervilloom/internal/config"
	"chervilloom/internal/fleet"
	"chervilloom/internal/outcome"
	"chervilloom/internal/request"
	"chervilloom/internal/view"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const validKey = "a key"

func hashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func newDocument() *config.Document {
	return &config.Document{
		Organisations: []config.Organisation{
			{Name: "sagarmatha", KeyHashes: []string{hashOf(validKey), "not a hash"}, Priority: 7},
			{Name: "lapwise", KeyHashes: []string{hashOf("another")}},
		},
		Models: []config.Model{
			{Name: "renewals", Current: "v2", Versions: []string{"v1", "v2"}, Adapters: []string{"kathmandu"}},
			{Name: "plain", Current: "v1"},
		},
		Services: []config.Service{{
			Name: "counter", Timeout: config.Duration(3 * time.Second),
			NotRepeatable: []string{"POST /receipts", "PUT /Laps/", "GET /next"},
		}},
	}
}

const now = clock.Instant(1e12)

func newInputs() Inputs {
	doc := newDocument()
	return Inputs{Config: doc, Keys: NewKeys(doc), Now: now, ModelTimeout: time.Minute}
}

func newRequest(method, path, body string) *request.Request {
	return &request.Request{
		ID: "r", Arrived: now, Method: method, Path: path, Body: []byte(body),
		Header: http.Header{"Authorization": {"Bearer " + validKey}},
	}
}

const promptJSON = `"messages":[{"role":"user","content":"hello"}]`

func newChatRequest(model, more string) *request.Request {
	return newRequest("POST", PathChat, fmt.Sprintf(`{"model":%q,%s%s}`, model, promptJSON, more))
}

func TestIdentifyModelCall(t *testing.T) {
	is := is.New(t)
	req := newChatRequest("renewals+kathmandu@v1", `,"max_tokens":12,"stream":true`)
	is.True(Identify(req, newInputs()) == nil)
	is.Equal(req.Organisation, fleet.Organisation("sagarmatha"))
	is.Equal(req.Priority, 7)
	is.Equal(req.Class, request.ClassModel)
	is.Equal(req.Target, fleet.Target{Model: "renewals", Adapter: "kathmandu", Version: "v1"})
	is.True(req.Idempotent)
	is.True(req.Stream)
	is.Equal(req.MaxTokens, 12)
	is.True(req.PromptTokens > 0)
	is.Equal(req.Deadline, now.Add(time.Minute))
	is.Equal(req.Header.Get("Authorization"), "") // the key is not passed on
}

func TestIdentifyRefuses(t *testing.T) {
	header := func(req *request.Request, k, v string) *request.Request {
		req.Header.Set(k, v)
		return req
	}
	cases := []struct {
		name string
		req  *request.Request
		kind outcome.Kind
		says string // substring of message or remedy
	}{
		{"no key", header(newChatRequest("plain", ""), "Authorization", ""), outcome.Unauthorised, "Authorization"},
		{"another scheme", header(newChatRequest("plain", ""), "Authorization", "Basic "+validKey), outcome.Unauthorised, "Authorization"},
		{"unknown key", header(newChatRequest("plain", ""), "Authorization", "Bearer x"), outcome.Unauthorised, "check the key"},
		{"the hash as key", header(newChatRequest("plain", ""), "Authorization", "Bearer "+hashOf(validKey)), outcome.Unauthorised, "check the key"},
		{"unknown model", newChatRequest("none", ""), outcome.UnknownModel, "renewals, plain"},
		{"unknown adapter", newChatRequest("renewals+x", ""), outcome.UnknownModel, "kathmandu"},
		{"no adapters", newChatRequest("plain+x", ""), outcome.UnknownModel, "without an adapter"},
		{"unknown version", newChatRequest("renewals@v9", ""), outcome.UnknownModel, "v1, v2"},
		{"no model", newRequest("POST", PathChat, "{"+promptJSON+"}"), outcome.UnknownModel, "renewals"},
		{"malformed", newRequest("POST", PathChat, "{\n\"model\": renewals}"), outcome.BadRequest, "line 2 column 10"},
		{"cut short", newRequest("POST", PathChat, `{"model":"plain"`), outcome.BadRequest, "line 1 column 16"},
		{"not UTF-8 junk", newRequest("POST", PathChat, "\x00\xff"), outcome.BadRequest, "line 1 column 1"},
		{"empty", newRequest("POST", PathChat, ""), outcome.BadRequest, "JSON"},
		{"two documents", newRequest("POST", PathChat, `{"model":"plain",`+promptJSON+`}{}`), outcome.BadRequest, "line 1"},
		{"wrong type", newRequest("POST", PathChat, `{"model":7,`+promptJSON+`}`), outcome.BadRequest, `"model"`},
		{"no prompt", newRequest("POST", PathChat, `{"model":"plain"}`), outcome.BadRequest, "messages"},
		{"negative bound", newChatRequest("plain", `,"max_tokens":-1`), outcome.BadRequest, "max_tokens"},
		{"unknown service", newRequest("GET", "/services/none/x", ""), outcome.UnknownService, "counter"},
		{"no service", newRequest("GET", "/services/", ""), outcome.UnknownService, "counter"},
		{"no path", newRequest("GET", "/v2/chat", ""), outcome.BadRequest, PathChat},
		{"expired", header(newChatRequest("plain", ""), HeaderDeadline, "0"), outcome.DeadlineExceeded, "more time"},
		{"negative deadline", header(newChatRequest("plain", ""), HeaderDeadline, "-5"), outcome.DeadlineExceeded, "more time"},
		{"no deadline", header(newChatRequest("plain", ""), HeaderDeadline, "soon"), outcome.BadRequest, HeaderDeadline},
		{"bad mark", header(newChatRequest("plain", ""), HeaderIdempotent, "maybe"), outcome.BadRequest, HeaderIdempotent},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			err := Identify(tc.req, newInputs())
			is.True(err != nil)
			is.Equal(err.Kind, tc.kind)
			is.Equal(err.Outcome, outcome.NotRun)
			if !strings.Contains(err.Message+" "+err.Remedy, tc.says) {
				t.Fatalf("%q; %q does not contain %q", err.Message, err.Remedy, tc.says)
			}
		})
	}
}

// Tests that a path which a server interprets as /receipts is not repeatable,
// although it does not begin with /receipts byte by byte. If it were, the
// request could be sent twice and issue two receipts.
func TestNotRepeatableForEquivalentPaths(t *testing.T) {
	cases := []struct {
		method, path string
		class        request.Class
	}{
		{"POST", "/receipts", request.ClassCall},
		{"POST", "/receipts?n=1", request.ClassCall},
		{"POST", "/receipts/7/print", request.ClassCall},
		{"POST", "//receipts", request.ClassCall},
		{"POST", "/./receipts", request.ClassCall},
		{"POST", "/x/../receipts", request.ClassCall},
		{"POST", "/%72eceipts", request.ClassCall},
		{"POST", "/Receipts", request.ClassCall},
		{"post", "/receipts", request.ClassCall},
		{"POST", "/%zz", request.ClassCall}, // cannot be parsed: not considered repeatable
		{"PUT", "/laps/3", request.ClassCall},
		{"PUT", "/laps", request.ClassCall}, // the entry is "/Laps/"; servers accept both
		{"POST", "/receipts;v=2", request.ClassCall},
		{"POST", "/receipts.json", request.ClassCall},
		{"POST", "/receiptsheet", request.ClassLookup},
		{"GET", "/next", request.ClassCall},
		{"HEAD", "/next", request.ClassCall}, // most servers run the handler of GET
		{"POST", "/search", request.ClassLookup},
		{"PUT", "/receipts", request.ClassLookup},
		{"GET", "/receipts", request.ClassLookup},
		{"HEAD", "/receipts", request.ClassLookup},
		{"GET", "", request.ClassLookup},
	}
	for _, tc := range cases {
		t.Run(tc.method+" "+tc.path, func(t *testing.T) {
			is := is.New(t)
			req := newRequest(tc.method, "/services/counter"+tc.path, "")
			is.True(Identify(req, newInputs()) == nil)
			is.Equal(req.Class, tc.class)
			is.Equal(req.Idempotent, tc.class == request.ClassLookup)
			is.Equal(req.Deadline, now.Add(3*time.Second))
			is.True(strings.HasPrefix(req.Path, "/"))
		})
	}
}

func TestIdempotentHeader(t *testing.T) {
	cases := []struct {
		name, mark string
		req        *request.Request
		idempotent bool
		class      request.Class
	}{
		{"model call", "", newChatRequest("plain", ""), true, request.ClassModel},
		{"marked model call", "false", newChatRequest("plain", ""), false, request.ClassModel},
		{"marked lookup", "false", newRequest("GET", "/services/counter/x", ""), false, request.ClassCall},
		{"operator's rule stays", "true", newRequest("POST", "/services/counter/receipts", ""), false, request.ClassCall},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			tc.req.Header.Set(HeaderIdempotent, tc.mark)
			is.True(Identify(tc.req, newInputs()) == nil)
			is.Equal(tc.req.Idempotent, tc.idempotent)
			is.Equal(tc.req.Class, tc.class)
		})
	}
}

func TestDeadline(t *testing.T) {
	is := is.New(t)
	req := newChatRequest("plain", "")
	req.Header.Set(HeaderDeadline, "1500")
	is.True(Identify(req, newInputs()) == nil)
	is.Equal(req.Deadline, now.Add(1500*time.Millisecond))

	req = newChatRequest("plain", "")
	req.Header.Set(HeaderDeadline, "9223372036854775807")
	is.True(Identify(req, newInputs()) == nil)
	is.Equal(req.Deadline, now.Add(MaxTimeout))

	// The time for reading the body counts against the deadline.
	late := newInputs()
	late.Now = now.Add(2 * time.Minute)
	is.Equal(Identify(newChatRequest("plain", ""), late).Kind, outcome.DeadlineExceeded)
}

func TestContentAsListOfParts(t *testing.T) {
	is := is.New(t)
	a := newChatRequest("plain", "")
	b := newRequest("POST", PathChat, `{"model":"plain","messages":[{"role":"user","content":[{"type":"text","text":"hel"},"lo",{"type":"image_url"}]}]}`)
	is.True(Identify(a, newInputs()) == nil)
	is.True(Identify(b, newInputs()) == nil)
	is.Equal(a.Prefix, b.Prefix)
	is.Equal(a.PromptTokens, b.PromptTokens)
}

func TestEstimateTokensByScript(t *testing.T) {
	is := is.New(t)
	is.Equal(estimateTokens([]string{"user", strings.Repeat("a", 400)}), 105)
	is.Equal(estimateTokens([]string{strings.Repeat("न", 300)}), 202)
}

func TestCommonPromptGivesSamePrefixes(t *testing.T) {
	is := is.New(t)
	long := strings.Repeat("route knowledge ", 200)
	a := newRequest("POST", PathCompletions, fmt.Sprintf(`{"model":"plain","prompt":%q}`, long+"a"))
	b := newRequest("POST", PathCompletions, fmt.Sprintf(`{"model":"plain","prompt":%q}`, long+"b"))
	is.True(Identify(a, newInputs()) == nil)
	is.True(Identify(b, newInputs()) == nil)
	n := len(a.Prefix)
	is.True(n > 10)
	is.Equal(a.Prefix, b.Prefix) // they differ only after the last boundary
}

func TestResumeWithoutBody(t *testing.T) {
	is := is.New(t)
	req := newRequest("GET", PathStreams+"x", "")
	req.ResumeID = "x"
	is.True(Identify(req, newInputs()) == nil)
	is.Equal(req.Class, request.ClassModel)
	is.True(req.Stream)
}

// Tests that a Last-Event-Id header of a service call is passed on to the
// service, as a browser sends it when it reconnects to a service's event
// stream. If it were treated as the ID of a model's stream, the call would be
// refused, and a receipt with such a header would bypass the check of its
// idempotency key.
func TestServiceEventIDIsPassedOn(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		is := is.New(t)
		req := newRequest(method, "/services/counter/receipts", "")
		req.Header.Set("Last-Event-Id", "17")
		req.ResumeID = "17"
		is.True(Identify(req, newInputs()) == nil)
		is.Equal(req.ResumeID, "")
		is.Equal(req.Header.Get("Last-Event-Id"), "17")
		is.Equal(req.Idempotent, method == "GET")
	}
}

// changingView is a view.Source with a replaceable snapshot.
type changingView struct{ snap *view.Snapshot }

func (v *changingView) Snapshot() *view.Snapshot { return v.snap }

// Tests that a new configuration revision which removes a key and adds another
// takes effect immediately, although the keys of the previous one are cached.
func TestKeysAreUpdatedWithRevision(t *testing.T) {
	is := is.New(t)
	v := &changingView{snap: &view.Snapshot{}}
	id := New(Options{View: v, Clock: clock.NewManual(now)})
	h := http.Header{"Authorization": {"Bearer " + validKey}}
	_, err := id.Organisation(h)
	is.Equal(err.Kind, outcome.NoCapacity) // no configuration yet
	v.snap = &view.Snapshot{Revision: 1, Config: newDocument()}
	org, err := id.Organisation(h)
	is.True(err == nil)
	is.Equal(org, fleet.Organisation("sagarmatha"))
	doc := newDocument()
	doc.Organisations[0].KeyHashes = []string{hashOf("new key")}
	v.snap = &view.Snapshot{Revision: 2, Config: doc}
	_, err = id.Organisation(h)
	is.Equal(err.Kind, outcome.Unauthorised)
}

func BenchmarkIdentify(b *testing.B) {
	f := newInputs()
	body := func(n int) string {
		return fmt.Sprintf(`{"model":"renewals","stream":true,"messages":[{"role":"user","content":%q}]}`, strings.Repeat("renewal ", n/8))
	}
	cases := []struct {
		name string
		req  *request.Request
	}{
		{"lookup", newRequest("GET", "/services/counter/licences/7", "")},
		{"receipt", newRequest("POST", "/services/counter/receipts", "{}")},
		{"model 1KiB", newRequest("POST", PathChat, body(1<<10))},
		{"model 64KiB", newRequest("POST", PathChat, body(64<<10))},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			header := c.req.Header
			for b.Loop() {
				req := *c.req
				req.Header = header.Clone()
				if err := Identify(&req, f); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
