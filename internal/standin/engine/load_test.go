package engine

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/clock"
	"chervilloom/internal/config"
	"chervilloom/internal/engine"
	"chervilloom/internal/fleet"
	"chervilloom/internal/identify"
	"chervilloom/internal/request"
	"chervilloom/internal/standin/platform"
	"chervilloom/internal/testkit"
)

func loadOf(t *testing.T, v *vm) fleet.Load {
	t.Helper()
	l, err := v.client.LoadReport(context.Background(), v.addr)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// The load report describes the load as it was LoadLag ago, with its age.
func TestLoadReportLags(t *testing.T) {
	is := is.New(t)
	now := clock.NewManual(0)
	o := fastOptions("e")
	o.Clock, o.LoadLag = now, config.Duration(time.Second)
	v := startEngine(t, o)
	now.Advance(5 * time.Second)
	v.slots.onChange(3, 1)
	now.Advance(900 * time.Millisecond)
	old := loadOf(t, v)
	is.Equal(old.Running, 0)
	now.Advance(100 * time.Millisecond)
	l := loadOf(t, v)
	is.Equal(l.Running, 3)
	is.Equal(l.Waiting, 1)
	is.Equal(l.AgeMillis, int64(1000))
	is.True(l.Sequence > old.Sequence)
	is.Equal(l.Slots, DefaultSlots)
}

// Requests without a free slot wait by priority; requests beyond the queue limit fail
// with errQueueFull.
func TestSlotsAndPriorities(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	waiting := 0
	s := newSlots(1, 3, func(_, w int) { mu.Lock(); waiting = w; mu.Unlock() })
	ctx := context.Background()
	is.NoErr(s.acquire(ctx, 0))
	var order []int
	var work sync.WaitGroup
	for i, priority := range []int{0, 5, 1} {
		work.Go(func() {
			if err := s.acquire(ctx, priority); err != nil {
				t.Error(err)
			}
			mu.Lock()
			order = append(order, priority)
			mu.Unlock()
			s.release()
		})
		testkit.Eventually(t, "a waiter", func() bool { mu.Lock(); defer mu.Unlock(); return waiting == i+1 })
	}
	is.Equal(s.acquire(ctx, 9), errQueueFull)
	s.release()
	work.Wait()
	is.Equal(order, []int{5, 1, 0})
	is.Equal(s.running, 0)
}

// A caller disconnects at the moment at which its request gets a slot: the slot passes
// to the next waiter, or becomes free.
func TestSlotOfDisconnectedCallerPassesOn(t *testing.T) {
	is := is.New(t)
	s := newSlots(1, 3, func(int, int) {})
	is.NoErr(s.acquire(context.Background(), 0))
	left, err := s.enqueue(0)
	is.NoErr(err)
	next, err := s.enqueue(0)
	is.NoErr(err)
	s.release()
	s.abandon(left)
	select {
	case <-next.ready:
	default:
		t.Fatal("the slot did not pass to the next waiter")
	}
	s.abandon(next)
	is.Equal(s.running, 0)
}

// A prompt that shares a prefix with an earlier one counts the shared blocks as cached
// tokens, until the cache is full and evicts the least recently used prefixes.
func TestPrefixCache(t *testing.T) {
	is := is.New(t)
	o := fastOptions("e")
	o.CachePrefixes = 8
	v := startEngine(t, o)
	v.join(1, 1, 0)
	cached := func(text string) int {
		got := readEvents(v.chat(testContext(t), text[len(text)-8:], chatBody(text, 1, true)))
		is.NoErr(got.err)
		return got.usage.CachedTokens
	}
	shared := strings.Repeat("licence rules ", 100) // 1400 bytes, 5 blocks
	is.Equal(cached(shared+"driver 1"), 0)
	is.Equal(cached(shared+"driver 2"), 5*engine.PrefixBlock/bytesPerToken)
	is.Equal(cached(strings.Repeat("other prompts ", 200)+"driver 3"), 0)
	is.Equal(cached(shared+"driver 4"), 0)
}

// Cache events are published after CacheEventLag with sequence numbers, which have a
// gap for each lost event.
func TestCacheEventsLagAndHaveGaps(t *testing.T) {
	is := is.New(t)
	now := clock.NewManual(0)
	o := fastOptions("e")
	o.Clock, o.CacheEventLag, o.CacheGapEvery = now, config.Duration(time.Second), 3
	v := startEngine(t, o)
	v.join(1, 1, 0)
	_, err := answerText(v.chat(testContext(t), "r", chatBody(strings.Repeat("x", 5*engine.PrefixBlock), 1, false)))
	is.NoErr(err)
	events := func(after uint64) []engine.CacheEvent {
		l, err := v.client.CacheEvents(testContext(t), v.addr, after)
		is.NoErr(err)
		return l
	}
	is.Equal(len(events(0)), 0)
	now.Advance(time.Second)
	var sequence []uint64
	for _, e := range events(0) {
		sequence = append(sequence, e.Sequence)
	}
	is.Equal(sequence, []uint64{1, 2, 4, 5})
	is.Equal(len(events(4)), 1)
}

// Nodes and engines must hash a prompt's prefixes alike: otherwise no node would find
// the prefixes of the engine's cache events in any prompt.
func TestNodesAndEnginesHashPrefixesAlike(t *testing.T) {
	is := is.New(t)
	text := "renewal\x00 of " + strings.Repeat("दर्ता and rules ", 3000)
	body, err := json.Marshal(engine.ChatRequest{Model: "m+a@1", Messages: []engine.Message{
		{Role: "system", Content: "You help clerks."}, {Role: "user", Content: ""}, {Role: "user", Content: text},
	}})
	is.NoErr(err)
	key := sha256.Sum256([]byte("k"))
	doc := &config.Document{
		Organisations: []config.Organisation{{Name: "o", KeyHashes: []string{hex.EncodeToString(key[:])}, Weight: 1}},
		Models:        []config.Model{{Name: "m", Current: "1", Versions: []string{"1"}, Adapters: []string{"a"}}},
	}
	req := &request.Request{
		Method: http.MethodPost, Path: "/v1/chat/completions", Body: body,
		Header: http.Header{"Authorization": {"Bearer k"}},
	}
	if refused := identify.Identify(req, identify.Inputs{Config: doc, Keys: identify.NewKeys(doc), ModelTimeout: time.Minute}); refused != nil {
		t.Fatal(refused)
	}
	var chat engine.ChatRequest
	is.NoErr(json.Unmarshal(body, &chat))
	is.True(len(req.Prefix) > 32)
	is.Equal(engine.Prefixes("m", "a", engine.PromptFields(chat.Messages)), req.Prefix)
}

// Cached prefixes are transferred from one engine to another through the object store;
// the import of a missing object fails.
func TestKVTransfer(t *testing.T) {
	is := is.New(t)
	store := platform.New(platform.Options{NoLimits: true})
	from, to := fastOptions("from"), fastOptions("to")
	from.Objects, to.Objects = store, store
	a, b := startEngine(t, from), startEngine(t, to)
	a.join(1, 1, 0)
	b.join(1, 1, 0)
	text := strings.Repeat("renewal ", 64) // two blocks with its role
	_, err := answerText(a.chat(testContext(t), "r", chatBody(text, 1, false)))
	is.NoErr(err)
	move := engine.KVMove{Object: "kv/1", Prefixes: engine.Prefixes("m", "", []string{"user", text})}
	is.NoErr(a.client.ExportKV(testContext(t), a.addr, move))
	is.NoErr(b.client.ImportKV(testContext(t), b.addr, move))
	got := readEvents(b.chat(testContext(t), "r", chatBody(text, 1, true)))
	is.NoErr(got.err)
	is.Equal(got.usage.CachedTokens, engine.PrefixBytes(len(move.Prefixes))/bytesPerToken)
	is.True(got.usage.CachedTokens > 0)
	move.Object = "kv/none"
	is.True(b.client.ImportKV(testContext(t), b.addr, move) != nil)
}
