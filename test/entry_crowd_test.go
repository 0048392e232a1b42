package test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/testkit"
	"chervilloom/platform/platformtest"
)

// The node of these tests has 64 MB; no VM has fewer descriptors than maxCrowdFiles.
const (
	crowdMemory   = 64 << 20
	crowdSettings = "limits.memory_mb=64\n"
	maxCrowdFiles = 2870
	// crowdLimits are the limits of the users' deployments.
	crowdLimits = `{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}`
	// crowdTime is how long a crowd stays. It is longer than the limits for heads and for
	// connections that are being closed.
	crowdTime = 6 * time.Second
	// clientWriteBuffer is the send buffer of a client that sends without end.
	clientWriteBuffer = 16 << 10
	// ordinaryTries is how often an ordinary client tries, each time on a new connection.
	ordinaryTries = 20
)

// Parts of requests.
const (
	lookupHead   = "GET /lookup/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: crowd\r\nAuthorization: Token k1\r\n"
	receiptHead  = "POST /receipt/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: crowd\r\nAuthorization: Token k1\r\n"
	noRouteHead  = "POST /nowhere/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: crowd\r\nAuthorization: Token k1\r\n"
	badKeyHead   = "POST /receipt/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: crowd\r\nAuthorization: Token none\r\n"
	chunkedField = "Transfer-Encoding: chunked\r\n"
)

// emptyLines are as many as a client writes at a time.
var emptyLines = strings.Repeat("\r\n", 32<<10)

// shortFields returns n header fields with different names, of seven bytes each.
func shortFields(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "%s:\r\n", strconv.FormatInt(int64(i+10000), 36)+"x")
	}
	return b.String()
}

// chunks returns a body of n bytes in chunks, without its end.
func chunks(n, size int) string {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("b", size))
	return strings.Repeat(chunk, n/size)
}

// client is how each connection of a part of a crowd behaves: it sends its text once, then the
// endless part until the connection is closed, and opens a new one once it is.
type client struct {
	connections int
	text        string
	endless     string
	reads       bool   // reads what the node sends; without an endless part only neverReads prevents it
	neverReads  bool   // never reads
	addr        string // empty: the clients' address
}

// crowd is a number of clients that stay until it is stopped.
type crowd struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// startCrowd connects clients to a node until the crowd is stopped.
func startCrowd(n *entryNode, clients ...client) *crowd {
	ctx, cancel := context.WithCancel(context.Background())
	c := &crowd{cancel: cancel}
	for _, kind := range clients {
		if kind.addr == "" {
			kind.addr = n.front
		}
		for range kind.connections {
			c.wg.Go(func() {
				for ctx.Err() == nil {
					kind.play(ctx)
					time.Sleep(20 * time.Millisecond) // pause before the next connection
				}
			})
		}
	}
	return c
}

// stop closes all connections of the crowd.
func (c *crowd) stop() {
	c.cancel()
	c.wg.Wait()
}

// play uses one connection until it is closed. Its errors are those of a node that closes it.
func (k client) play(ctx context.Context) {
	conn, err := net.DialTimeout("tcp", k.addr, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	if k.endless != "" {
		// On loopback, what a client has not sent yet is freed on the time of the node that resets the
		// connection.
		_ = conn.(*net.TCPConn).SetWriteBuffer(clientWriteBuffer)
	}
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		_, err := io.WriteString(conn, k.text)
		for k.endless != "" && err == nil {
			_, err = io.WriteString(conn, k.endless)
		}
		if err != nil {
			conn.Close()
		}
	}()
	switch {
	case k.neverReads:
		<-ctx.Done()
	case k.reads || k.endless == "":
		_, _ = io.Copy(io.Discard, conn)
		conn.Close()
	}
	<-sent
}

// usage is what a node takes of its machine: its resident memory with the bytes that it has received
// and not read, and its descriptors.
type usage struct{ memory, resident, unread, files int }

func (u usage) String() string {
	return fmt.Sprintf("%d MB (%d resident, %d received and not read), %d descriptors", u.memory>>20, u.resident>>20, u.unread>>20, u.files)
}

// measure returns the usage of a node.
func measure(t *testing.T, n *entryNode) usage {
	t.Helper()
	pid := n.cmd.Process.Pid
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	must(t, err)
	sockets := map[string]bool{} // by inode
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	files, err := os.ReadDir(dir)
	must(t, err)
	for _, f := range files {
		link, err := os.Readlink(filepath.Join(dir, f.Name()))
		if inode, ok := strings.CutPrefix(link, "socket:["); err == nil && ok {
			sockets[strings.TrimSuffix(inode, "]")] = true
		}
	}
	u := usage{files: len(files), unread: unreadBytes(t, n, sockets)}
	for line := range strings.Lines(string(status)) {
		if kb, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			fields := strings.Fields(kb)
			u.resident, err = strconv.Atoi(fields[0])
			must(t, err)
			u.resident <<= 10
		}
	}
	u.memory = u.resident + u.unread
	return u
}

// unreadBytes returns the bytes in the receive queues of the node's sockets and of the connections to
// its IP address, which it has for itself, that it hasn't accepted.
func unreadBytes(t *testing.T, n *entryNode, sockets map[string]bool) int {
	t.Helper()
	f, err := os.Open("/proc/net/tcp")
	must(t, err)
	defer f.Close()
	host, _, err := net.SplitHostPort(n.front)
	must(t, err)
	ip := net.ParseIP(host).To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:", ip[3], ip[2], ip[1], ip[0])
	const (
		stateListen = "0A"
		inodeField  = 9
	)
	total := 0
	for s := bufio.NewScanner(f); s.Scan(); {
		// Number, local address, remote address, state, bytes to send and received, and so on.
		fields := strings.Fields(s.Text())
		if len(fields) <= inodeField || fields[3] == stateListen || !strings.HasPrefix(fields[1], local) && !sockets[fields[inodeField]] {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		bytes, err := strconv.ParseInt(queue, 16, 64)
		must(t, err)
		total += int(bytes)
	}
	return total
}

// crowdTest plays a crowd at a node of its own.
type crowdTest struct {
	*entryFleet
	node *entryNode
}

// slowRoute leads to a service of its own.
const slowRoute = `,{"name":"slow","host":"h.example","prefix":"/slow/","type":"non_idempotent","timeout_ms":10000,"service":"slow","max_attempts":1}`

func startCrowdTest(t *testing.T) *crowdTest {
	t.Helper()
	return startCrowdTestWith(t, "")
}

// startCrowdTestWith starts a node whose document has further routes.
func startCrowdTestWith(t *testing.T, furtherRoutes string) *crowdTest {
	t.Helper()
	c := &crowdTest{entryFleet: &entryFleet{furtherRoutes: furtherRoutes, limits: crowdLimits, retryLimit: usualRetryLimit, furtherSettings: crowdSettings, metrics: true}}
	c.start(t, func(*platformtest.Store) {}, "a")
	c.node = c.nodes[0]
	testkit.Eventually(t, "a lookup is served", func() bool { return c.isServed("first") })
	return c
}

// isServed reports whether an ordinary client gets the answers to a request without a body and to one
// with a body.
func (c *crowdTest) isServed(id string) bool {
	return c.isAnswered("GET", "/lookup/1", id+"-lookup-", "") && c.isAnswered("POST", "/receipt/1", id+"-receipt-", "a short body")
}

// isAnswered reports whether one of a few tries succeeds, each on a new connection.
func (c *crowdTest) isAnswered(method, path, id, body string) bool {
	transport := &http.Transport{DisableKeepAlives: true}
	failures := map[string]int{}
	defer func() {
		if len(failures) > 0 {
			c.t.Logf("%s: %v", id, failures)
		}
	}()
	for i := range ordinaryTries {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		resp, err := transport.RoundTrip(c.request(ctx, c.node, method, path, fmt.Sprint(id, i), body, nil))
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		cancel()
		if err == nil && resp.StatusCode == http.StatusOK {
			return true
		}
		if err == nil {
			err = errors.New(resp.Status)
		}
		failures[err.Error()[strings.LastIndex(err.Error(), ": ")+1:]]++
		time.Sleep(50 * time.Millisecond) // pause before the next try
	}
	return false
}

// play plays a crowd and checks that the node stays within its bounds, and that an ordinary client is
// served beside the crowd and afterwards.
func (c *crowdTest) play(t *testing.T, clients ...client) {
	t.Helper()
	before := measure(t, c.node)
	peak := before
	running := startCrowd(c.node, clients...)
	observed, observing := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(observed)
		for {
			select {
			case <-observing:
				return
			case <-c.node.done:
				return
			case <-time.After(50 * time.Millisecond):
			}
			now := measure(t, c.node)
			if now.memory > peak.memory {
				peak.memory, peak.resident, peak.unread = now.memory, now.resident, now.unread
			}
			peak.files = max(peak.files, now.files)
		}
	}()
	time.Sleep(crowdTime) // the crowd's own time; what is checked holds at each moment of it
	beside := c.isServed("beside")
	running.stop()
	afterwards := c.isServed("after")
	close(observing)
	<-observed
	t.Logf("%s", c.node.lastLine("turned away"))
	t.Logf("before %v; at most %v", before, peak)
	if !c.isAlive() {
		t.Fatal("the process has ended")
	}
	if peak.memory > crowdMemory {
		t.Errorf("the node took %d MB, has %d", peak.memory>>20, crowdMemory>>20)
	}
	if peak.files > maxCrowdFiles {
		t.Errorf("the node had %d descriptors, bound %d", peak.files, maxCrowdFiles)
	}
	if !beside {
		t.Error("no ordinary request was served beside the crowd")
	}
	if !afterwards {
		t.Error("no ordinary request was served after the crowd")
	}
	testkit.Eventually(t, "the descriptors of the crowd are closed", func() bool {
		return measure(t, c.node).files <= before.files+ordinaryTries
	})
}

func (c *crowdTest) isAlive() bool {
	select {
	case <-c.node.done:
		return false
	default:
		return true
	}
}

// Guards against heads whose parsed form takes many times their length.
func TestEntryCrowdOfHeadsWithShortFields(t *testing.T) {
	startCrowdTest(t).play(t, client{connections: 300, text: lookupHead + shortFields(7000), reads: true})
}

// Guards against heads within the limit that are complete and take many times their length while the
// body is awaited.
func TestEntryCrowdOfWholeHeadsWithShortFields(t *testing.T) {
	text := receiptHead + shortFields(2200) + "Content-Length: 2000\r\n\r\nhalf"
	startCrowdTest(t).play(t, client{connections: 400, text: text, reads: true})
}

// Guards against header fields and lines without end.
func TestEntryCrowdOfHeadsWithoutEnd(t *testing.T) {
	startCrowdTest(t).play(t,
		client{connections: 100, text: lookupHead + "X-Long: ", endless: strings.Repeat("a", 4000)},
		client{connections: 100, text: lookupHead + "X-Long: a\r\n", endless: " folded\r\n"},
		client{connections: 100, text: "GET /", endless: strings.Repeat("a", 4000)},
		client{connections: 100, text: lookupHead, endless: shortFields(500)},
	)
}

// Guards against empty lines without end before a request, the first of a connection and a later one.
func TestEntryCrowdOfEmptyLines(t *testing.T) {
	posted := receiptHead + "Content-Length: 0\r\n\r\n"
	startCrowdTest(t).play(t,
		client{connections: 300, endless: emptyLines},
		client{connections: 300, endless: strings.Repeat("\n", len(emptyLines))},
		client{connections: 300, text: posted, endless: emptyLines},
	)
}

// Guards against the same at a node with a fifth of a core, which closes connections late while bytes
// arrive that it doesn't read.
func TestEntryCrowdOfEmptyLinesAtSlowNode(t *testing.T) {
	c := startCrowdTest(t)
	defer coarseQuota.impose(t, c.node.process)()
	c.play(t,
		client{connections: 1000, endless: emptyLines},
		client{connections: 1000, text: receiptHead + "Content-Length: 0\r\n\r\n", endless: emptyLines},
	)
}

// Guards against chunked bodies that are held while they stop short of their end.
func TestEntryCrowdOfBodiesInLargeChunks(t *testing.T) {
	text := receiptHead + chunkedField + "\r\n" + chunks(3<<20, 1<<20) + fmt.Sprintf("%x\r\n%s", 1<<20, strings.Repeat("b", 1<<20-4096))
	startCrowdTest(t).play(t, client{connections: 100, text: text, reads: true})
}

// Guards against the same with a body of moderate size, of which more connections are open.
func TestEntryCrowdOfBodiesInSmallChunks(t *testing.T) {
	startCrowdTest(t).play(t,
		client{connections: 300, text: receiptHead + chunkedField + "\r\n" + chunks(20_000, 1), reads: true},
		client{connections: 100, text: receiptHead + chunkedField + "\r\n" + chunks(150_000, 16), reads: true},
	)
}

// Guards against bodies of which only the length has arrived and that keep others out.
func TestEntryCrowdOfAnnouncedBodies(t *testing.T) {
	startCrowdTest(t).play(t, client{connections: 300, text: receiptHead + "Content-Length: 4194304\r\n\r\nfirst", reads: true})
}

// Guards against requests that are refused and hold their connections because their body doesn't come.
func TestEntryCrowdOfRefusedRequests(t *testing.T) {
	startCrowdTest(t).play(t,
		client{connections: 250, text: noRouteHead + chunkedField + "\r\n" + chunks(1000, 100)},
		client{connections: 250, text: noRouteHead + "Content-Length: 2000\r\n\r\nhalf"},
		client{connections: 250, text: badKeyHead + chunkedField + "\r\n" + chunks(1000, 100)},
		client{connections: 250, text: badKeyHead + "Content-Length: 2000\r\n\r\nhalf"},
	)
}

// Guards against connections that take all places without a request.
func TestEntryCrowdOfSilentClients(t *testing.T) {
	startCrowdTest(t).play(t,
		client{connections: 500},
		client{connections: 500, text: lookupHead},
	)
}

// Guards against bytes that arrive on connections whose request is being served and stay unread.
func TestEntryCrowdOfPipelinedBytes(t *testing.T) {
	c := startCrowdTestWith(t, slowRoute)
	c.fleet.AddService("i-s0", "slow", "a").SetHandler(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done() // runs until its caller leaves
	})
	text := strings.Replace(receiptHead, "/receipt/", "/slow/", 1) + "Content-Length: 0\r\n\r\n" + strings.Repeat("GET / HTTP/1.1\r\n", 20_000)
	c.play(t, client{connections: 800, text: text})
}

// Guards against requests in series whose responses are never read.
func TestEntryCrowdOfUnreadResponses(t *testing.T) {
	startCrowdTest(t).play(t, client{connections: 60, endless: strings.Repeat(lookupHead+"\r\n", 20)})
}

// Guards against large responses of which a node and its kernel hold what their clients don't read.
func TestEntryCrowdOfUnreadLargeResponses(t *testing.T) {
	c := startCrowdTestWith(t, slowRoute)
	const size = 8 << 20
	c.fleet.AddService("i-s0", "slow", "a").SetHandler(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Server-Stamp", "stamp")
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = w.Write(make([]byte, size)) // the node may cut it off
	})
	text := strings.Replace(receiptHead, "/receipt/", "/slow/", 1) + "Content-Length: 0\r\n\r\n"
	testkit.Eventually(t, "the endpoint is known", func() bool {
		code, _ := c.status(c.node, "GET", "/slow/1", "known", nil)
		return code == http.StatusOK
	})
	c.play(t, client{connections: 60, text: text, neverReads: true})
}

// Guards against clients that misbehave in all these ways at the same time.
func TestEntryCrowdOfAllKinds(t *testing.T) {
	startCrowdTest(t).play(t,
		client{connections: 150, text: lookupHead + shortFields(7000), reads: true},
		client{connections: 150, text: receiptHead + shortFields(2200) + "Content-Length: 2000\r\n\r\nhalf", reads: true},
		client{connections: 60, text: receiptHead + chunkedField + "\r\n" + chunks(3<<20, 1<<20), reads: true},
		client{connections: 100, text: receiptHead + chunkedField + "\r\n" + chunks(20_000, 1), reads: true},
		client{connections: 150, text: noRouteHead + chunkedField + "\r\n" + chunks(1000, 100)},
		client{connections: 150, text: lookupHead},
		client{connections: 150, endless: emptyLines},
		client{connections: 150},
		client{connections: 150, text: lookupHead + "\r\n", reads: true},
	)
}

// Guards against such clients at the other listeners of a node.
func TestEntryCrowdAtOtherListeners(t *testing.T) {
	c := startCrowdTest(t)
	var clients []client
	for _, addr := range []string{c.node.ready, c.node.metrics, c.node.peers} {
		clients = append(clients,
			client{connections: 100, text: "GET /ready HTTP/1.1\r\nHost: h\r\n" + shortFields(40_000), reads: true, addr: addr},
			client{connections: 100, endless: emptyLines, addr: addr},
			client{connections: 300, text: "POST /ready HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\nhalf", addr: addr},
			client{connections: 300, addr: addr},
		)
	}
	c.play(t, clients...)
	is := is.New(t)
	is.True(c.isReady(c.node))
}
