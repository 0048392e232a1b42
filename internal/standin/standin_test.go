package standin_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"chervilloom/internal/engine"
	"chervilloom/internal/fleet"
	"chervilloom/internal/platform"
	"chervilloom/internal/standin"
	standinengine "chervilloom/internal/standin/engine"
	"chervilloom/internal/standin/service"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startStandin starts a stand-in through Run, as the command line does, and returns its
// address.
func startStandin(t *testing.T, kind standin.Kind, settings string) string {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	r, w := io.Pipe()
	done := make(chan error, 1)
	go func() {
		err := standin.Run(ctx, kind, "127.0.0.1:0", []byte(settings), w)
		w.CloseWithError(err)
		done <- err
	}()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	line := make([]byte, 64)
	n, err := r.Read(line)
	if err != nil {
		t.Fatal(err)
	}
	return strings.TrimSpace(strings.TrimPrefix(string(line[:n]), "listening "))
}

// Runs a platform, an engine and a service on their own addresses: both endpoints
// register, the engine accepts an order and answers a chat request with the text
// that is derived from its prompt, and the service issues its first receipt.
func TestStandinsEndToEnd(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	url := "http://" + startStandin(t, standin.KindPlatform, "")
	engineAddr := startStandin(t, standin.KindEngine, "vm: e1\nzone: z\ndomain: d\nload_time: 1ms\ntokens_per_second: 2000\nplatform: "+url)
	serviceAddr := startStandin(t, standin.KindService, "vm: s1\nzone: z\nname: counter\nplatform: "+url)

	p := platform.NewClient(url)
	defer p.Close()
	vms, err := p.VMs(ctx)
	is.NoErr(err)
	is.Equal(len(vms), 2)
	is.Equal(vms[0].Addr, engineAddr)
	is.Equal(vms[1].Service, "counter")

	c := engine.NewClient()
	defer c.Close()
	state, err := c.State(ctx, engineAddr)
	is.NoErr(err)
	_, err = c.Order(ctx, engineAddr, engine.Order{
		Verb: engine.VerbJoin, Fence: 1, Boot: state.Boot, Group: "g", Generation: 1,
		Model: "m", Version: "1", Peers: []string{engineAddr},
	})
	is.NoErr(err)
	waitLoaded(ctx, t, c, engineAddr)

	body := `{"model":"m","messages":[{"role":"user","content":"renew 17"}],"max_tokens":5}`
	res := doRequest(t, http.MethodPost, "http://"+engineAddr+"/v1/chat/completions", body, engine.HeaderGeneration, "g/1")
	var answer engine.ChatAnswer
	is.NoErr(json.Unmarshal(res, &answer))
	is.Equal(answer.Choices[0].Message.Content, strings.Join(standinengine.ExpectedTokens([]byte(body)), ""))

	var receipt service.Answer
	is.NoErr(json.Unmarshal(doRequest(t, http.MethodPost, "http://"+serviceAddr+"/receipts", "x", "Idempotency-Key", "k"), &receipt))
	is.Equal(receipt.Serial, uint64(1))
	is.Equal(receipt.Check, service.Checksum(http.MethodPost, "/receipts", []byte("x")))
}

func waitLoaded(ctx context.Context, t *testing.T, c *engine.Client, addr string) fleet.EngineState {
	t.Helper()
	for {
		s, err := c.State(ctx, addr)
		if err == nil && s.Loaded {
			return s
		}
		select {
		case <-ctx.Done():
			t.Fatalf("the engine did not load: state %+v, error %v", s, err)
		case <-time.After(time.Millisecond):
		}
	}
}

func doRequest(t *testing.T, method, url, body, header, value string) []byte {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(header, value)
	req.Close = true
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil || res.StatusCode != http.StatusOK {
		t.Fatalf("%s %s: %s %s %v", method, url, res.Status, b, err)
	}
	return b
}

// A misspelt settings field is an error that quotes the field; it is not ignored.
func TestSettingsAreStrict(t *testing.T) {
	is := is.New(t)
	err := standin.Run(context.Background(), standin.KindEngine, "127.0.0.1:0", []byte("vm: e1\nslotz: 3\n"), io.Discard)
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "slotz"))
}
