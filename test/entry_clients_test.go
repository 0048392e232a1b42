package test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/outcome"
)

// rawClient is a client's connection to a node that is written and read by hand.
type rawClient struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
}

func dialRaw(t *testing.T, addr string) *rawClient {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	must(t, err)
	t.Cleanup(func() { conn.Close() })
	must(t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	return &rawClient{t, conn, bufio.NewReader(conn)}
}

// answer reads a response with its body.
func (c *rawClient) answer(method string) (*http.Response, string, error) {
	resp, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// step is a part of what a client sends, and its pause before it.
type step struct {
	pause time.Duration
	text  string
}

const (
	soundHead    = "POST /receipt/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: sound\r\nAuthorization: Token k1\r\nX-Deadline-Ms: 60000\r\n"
	soundLookup  = "GET /lookup/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: sound\r\nAuthorization: Token k1\r\n"
	headerLimit  = 16384
	bodyLimit    = 4 << 20
	emptyRequest = "Content-Length: 0\r\n\r\n"
)

// fillHead returns a head of exactly headerLimit bytes.
func fillHead(head, fields, end string) string {
	head += fields
	rest := headerLimit - len(head) - len("X-Fill: \r\n") - len(end)
	return head + "X-Fill: " + strings.Repeat("f", rest) + "\r\n" + end
}

// soundClients are clients within the limits of crowdLimits. Each gets as many successes as it has
// sent requests.
var soundClients = map[string]struct {
	steps   []step
	answers int
}{
	"head in short fields": {[]step{{0, fillHead(soundHead, shortFields(2200), emptyRequest)}}, 1},
	"head in one field":    {[]step{{0, fillHead(soundHead, "", emptyRequest)}}, 1},
	"head with a pause":    {[]step{{0, soundHead}, {2500 * time.Millisecond, emptyRequest}}, 1},
	"silent at first":      {[]step{{2500 * time.Millisecond, soundHead + emptyRequest}}, 1},
	"idle between":         {[]step{{0, soundHead + emptyRequest}, {12 * time.Second, soundHead + emptyRequest}}, 2},
	"body with length":     {[]step{{0, soundHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyLimit) + strings.Repeat("b", bodyLimit)}}, 1},
	"body in 16 KB":        {[]step{{0, soundHead + chunkedField + "\r\n" + chunks(bodyLimit, 16<<10) + "0\r\n\r\n"}}, 1},
	"body in 16 bytes":     {[]step{{0, soundHead + chunkedField + "\r\n" + chunks(bodyLimit, 16) + "0\r\n\r\n"}}, 1},
	"body in single bytes": {[]step{{0, soundHead + chunkedField + "\r\n" + chunks(200<<10, 1) + "0\r\n\r\n"}}, 1},
	"body with pauses": {[]step{{0, soundHead + "Content-Length: 30\r\n\r\n" + strings.Repeat("b", 10)},
		{2 * time.Second, strings.Repeat("b", 10)}, {2 * time.Second, strings.Repeat("b", 10)}}, 1},
	"trailer":   {[]step{{0, soundHead + chunkedField + "Trailer: X-Sum\r\n\r\n" + chunks(10, 10) + "0\r\nX-Sum: 1\r\n\r\n"}}, 1},
	"pipelined": {[]step{{0, strings.Repeat(soundLookup+"\r\n", 5)}}, 5},
}

// Guards against limits that turn away clients within those that the operator publishes.
func TestEntryServesClientsWithinTheLimits(t *testing.T) {
	c := startCrowdTest(t)
	var clients sync.WaitGroup
	for name, sound := range soundClients {
		clients.Go(func() {
			raw := dialRaw(t, c.node.front)
			go func() {
				for _, s := range sound.steps {
					time.Sleep(s.pause) // the client's own time
					if _, err := io.WriteString(raw.conn, s.text); err != nil {
						t.Errorf("%s: %v", name, err)
						return
					}
				}
			}()
			for range sound.answers {
				resp, _, err := raw.answer("POST")
				if err != nil {
					t.Errorf("%s: %v", name, err)
					return
				}
				if resp.StatusCode != http.StatusOK {
					t.Errorf("%s: status %d", name, resp.StatusCode)
				}
			}
		})
	}
	clients.Wait()
}

// Guards against a client that announces its body and never learns that it may send it.
func TestEntryContinuesAnnouncedBody(t *testing.T) {
	is := is.New(t)
	c := startCrowdTest(t)
	raw := dialRaw(t, c.node.front)
	_, err := io.WriteString(raw.conn, soundHead+"Expect: 100-continue\r\nContent-Length: 4\r\n\r\n")
	is.NoErr(err)
	resp, _, err := raw.answer("POST")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusContinue)
	_, err = io.WriteString(raw.conn, "body")
	is.NoErr(err)
	resp, _, err = raw.answer("POST")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
}

// unfinished are the ways in which a body is sent in part.
var unfinished = map[string]string{
	"length":  "Content-Length: 2000\r\n\r\nhalf",
	"chunked": chunkedField + "\r\n" + chunks(1000, 100),
	"expect":  "Expect: 100-continue\r\nContent-Length: 2000\r\n\r\n",
}

// Guards against requests whose answer is known without their body and that wait for it, and against
// connections that such a client holds.
func TestEntryAnswersBeforeTheBodyArrives(t *testing.T) {
	c := startCrowdTest(t)
	for name, refused := range map[string]struct {
		head   string
		status int
	}{
		"no route": {noRouteHead, http.StatusNotFound},
		"key":      {badKeyHead, http.StatusUnauthorized},
		"no id":    {"POST /receipt/1 HTTP/1.1\r\nHost: h.example\r\n", http.StatusBadRequest},
	} {
		for part, rest := range unfinished {
			t.Run(name+" "+part, func(t *testing.T) {
				checkRefusal(t, c.node, refused.head+rest, refused.status)
			})
		}
	}
	t.Run("too large", func(t *testing.T) {
		checkRefusal(t, c.node, soundHead+"Content-Length: 9000000\r\n\r\nfirst", http.StatusRequestEntityTooLarge)
	})
}

// checkRefusal checks that a request gets its whole answer, which says that it has not run, and that
// the connection ends.
func checkRefusal(t *testing.T, n *entryNode, text string, status int) {
	t.Helper()
	is := is.New(t)
	raw := dialRaw(t, n.front)
	_, err := io.WriteString(raw.conn, text)
	is.NoErr(err)
	resp, _, err := raw.answer("POST")
	is.NoErr(err)
	is.Equal(resp.StatusCode, status)
	is.Equal(resp.Header.Get(outcome.Header), string(outcome.NotRun))
	if strings.Contains(text, "X-Request-Id") {
		is.True(resp.Header.Get("X-Request-Id") != "")
	}
	_, err = raw.in.ReadByte()
	is.Equal(err, io.EOF)
}

// Guards against an answer that a client which is still sending loses with a reset of its connection.
func TestEntryRefusalReachesClientThatSends(t *testing.T) {
	c := startCrowdTest(t)
	const part = bodyLimit / 64
	for name, body := range map[string]struct{ framing, part string }{
		"length":  {fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyLimit), strings.Repeat("b", part)},
		"chunked": {chunkedField + "\r\n", chunks(part, part)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			raw := dialRaw(t, c.node.front)
			_, err := io.WriteString(raw.conn, noRouteHead+body.framing)
			is.NoErr(err)
			for range bodyLimit / part {
				time.Sleep(time.Millisecond) // a client with a slow link
				if _, err := io.WriteString(raw.conn, body.part); err != nil {
					break
				}
			}
			resp, _, err := raw.answer("POST")
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusNotFound)
		})
	}
}

// Guards against the connection of a refused request being lost to a client that has sent all of its
// body.
func TestEntryKeepsConnectionAfterRefusalOfWholeRequest(t *testing.T) {
	is := is.New(t)
	c := startCrowdTest(t)
	raw := dialRaw(t, c.node.front)
	for range 3 {
		_, err := io.WriteString(raw.conn, noRouteHead+fmt.Sprintf("Content-Length: %d\r\n\r\n", 10_000)+strings.Repeat("b", 10_000))
		is.NoErr(err)
		resp, _, err := raw.answer("POST")
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusNotFound)
		is.True(!resp.Close)
	}
}

// Guards against heads that take longer, or are longer, than the operator allows.
func TestEntryEndsHeadsBeyondTheLimits(t *testing.T) {
	is := is.New(t)
	c := startCrowdTest(t)
	raw := dialRaw(t, c.node.front)
	_, err := io.WriteString(raw.conn, fillHead(soundHead, "", "")+strings.Repeat("f: f\r\n", 2000)+emptyRequest)
	is.NoErr(err)
	resp, _, err := raw.answer("POST")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	for _, text := range []string{"", soundHead} {
		raw := dialRaw(t, c.node.front)
		began := time.Now()
		_, err := io.WriteString(raw.conn, text)
		is.NoErr(err)
		_, err = raw.in.ReadByte()
		is.Equal(err, io.EOF)
		is.True(time.Since(began) >= 3*time.Second) // not before the client's time is over
	}
}

// Guards against requests of unusual form that end a node, run at an endpoint in another form, or hold
// their connection. Each gets a response of its own or its connection is closed.
func TestEntryWithstandsUnusualRequests(t *testing.T) {
	c := startCrowdTest(t)
	auth := "Host: h.example\r\nX-Request-Id: unusual\r\nAuthorization: Token k1\r\n"
	for name, text := range map[string]string{
		"connect":            "CONNECT h.example:80 HTTP/1.1\r\n" + auth + "\r\n",
		"options for all":    "OPTIONS * HTTP/1.1\r\n" + auth + "\r\n",
		"http/2 preface":     "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
		"both lengths":       "POST /nowhere/1 HTTP/1.1\r\n" + auth + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"two lengths":        "POST /receipt/1 HTTP/1.1\r\n" + auth + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody!",
		"negative length":    "POST /receipt/1 HTTP/1.1\r\n" + auth + "Content-Length: -1\r\n\r\n",
		"other coding":       "POST /receipt/1 HTTP/1.1\r\n" + auth + "Transfer-Encoding: gzip\r\n\r\n",
		"bad chunk":          "POST /receipt/1 HTTP/1.1\r\n" + auth + "Transfer-Encoding: chunked\r\n\r\nzz\r\nbody\r\n",
		"other expectation":  "POST /receipt/1 HTTP/1.1\r\n" + auth + "Expect: 200-ok\r\nContent-Length: 4\r\n\r\nbody",
		"no host":            "GET /lookup/1 HTTP/1.1\r\nX-Request-Id: unusual\r\n\r\n",
		"bytes without text": "GET /lookup/\x00\xff HTTP/1.1\r\n" + auth + "\r\n",
		"empty lines":        "\r\n\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			raw := dialRaw(t, c.node.front)
			_, err := io.WriteString(raw.conn, text)
			is.NoErr(err)
			resp, _, err := raw.answer("POST")
			if err != nil {
				return // closed
			}
			is.True(resp.StatusCode >= 400)
			is.Equal(len(c.fleet.Runs("unusual")), 0)
		})
	}
	// An upgrade is not passed on: the request is an ordinary one.
	is := is.New(t)
	raw := dialRaw(t, c.node.front)
	_, err := io.WriteString(raw.conn, soundLookup+"Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n")
	is.NoErr(err)
	resp, _, err := raw.answer("GET")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.True(c.isServed("after"))
}
