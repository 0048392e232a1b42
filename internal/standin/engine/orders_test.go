package engine

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/clock"
	"chervilloom/internal/config"
	"chervilloom/internal/engine"
	"chervilloom/internal/fleet"
)

// The owner of a claim pauses, another claims the VM and orders it elsewhere,
// and the first wakes and sends its old order. An engine that checks fences
// refuses it with a typed error; one that ignores them takes it.
func TestOldFence(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(map[bool]string{true: "checked", false: "ignored"}[checks], func(t *testing.T) {
			is := is.New(t)
			o := fast("e")
			o.CheckFence = checks
			v := start(t, o)
			v.join(2, 6, 0)
			old := engine.Order{Verb: engine.VerbJoin, Fence: 5, Boot: v.State().Boot, Group: "old", Generation: 1, Model: "m"}
			res, err := v.client.Order(within(t), v.addr, old)
			var stale *engine.StaleFenceError
			is.Equal(errors.As(err, &stale), checks)
			if checks {
				is.Equal(stale.Sent, fleet.Fence(5))
				is.Equal(stale.State.Fence, fleet.Fence(6))
				is.Equal(v.State().Group, fleet.GroupID("g"))
				return
			}
			is.NoErr(err)
			is.True(res.Accepted)
			is.Equal(v.State().Group, fleet.GroupID("old"))
			is.Equal(v.State().Fence, fleet.Fence(6))
		})
	}
}

// The VM restarts as if nothing had happened: the same address answers, with
// another boot id and no memory of group, fence or streams. An order meant for
// the first life is refused, whether or not fences are checked.
func TestRestart(t *testing.T) {
	is := is.New(t)
	v := start(t, fast("e"))
	v.join(1, 3, 0)
	_, err := content(v.chat(within(t), "r1", prompt("x", 4, false)))
	is.NoErr(err)
	before := v.State()
	v.Restart()
	after, err := v.client.State(within(t), v.addr)
	is.NoErr(err)
	is.True(after.Boot != before.Boot)
	is.Equal(after, fleet.EngineState{VM: "e", Boot: after.Boot})
	_, err = v.client.Order(within(t), v.addr, engine.Order{Verb: engine.VerbJoin, Fence: 9, Boot: before.Boot, Group: "g"})
	is.True(errors.Is(err, engine.ErrOtherLife))
	res, err := v.call(within(t), "GET", "/v1/streams/r1?from=0", "")
	is.NoErr(err)
	is.NoErr(res.Body.Close())
	is.Equal(res.StatusCode, 404)
}

// Loading takes its time; the same order sent again does not start it anew, and
// an order to leave the group frees the engine.
func TestLoading(t *testing.T) {
	is := is.New(t)
	now := clock.NewManual(0)
	o := fast("e")
	o.Clock, o.LoadTime = now, config.Duration(10*time.Second)
	v := start(t, o)
	v.join(1, 1, 0)
	is.True(!v.State().Loaded)
	now.Advance(9 * time.Second)
	v.join(1, 1, 0)
	is.True(!v.State().Loaded)
	now.Advance(time.Second)
	is.True(v.State().Loaded)
	_, err := v.client.Order(within(t), v.addr, engine.Order{Verb: engine.VerbLeave, Fence: 2, Boot: v.State().Boot})
	is.NoErr(err)
	is.Equal(v.State(), fleet.EngineState{VM: "e", Boot: v.State().Boot, Fence: 2})
}

// A call that is meant for another generation, or that comes while the engine
// leaves, loads, is not the first of its group or lacks the model, is refused
// with the promise that it did not run, and the promise is true.
func TestRefusalsDidNotRun(t *testing.T) {
	loading := fast("e")
	loading.Clock, loading.LoadTime = clock.NewManual(0), config.Duration(time.Second)
	tests := []struct {
		name    string
		options Options
		prepare func(v *vm)
		tag     string
		body    string
		status  int
	}{
		{"other generation", fast("e"), func(v *vm) { v.join(2, 1, 0) }, "g/1", prompt("x", 1, false), 412},
		{"no group", fast("e"), func(*vm) {}, "g/1", prompt("x", 1, false), 412},
		{"no generation named", fast("e"), func(v *vm) { v.join(1, 1, 0) }, "", prompt("x", 1, false), 412},
		{"not rank 0", fast("e"), func(v *vm) { v.join(1, 1, 1, "192.0.2.1:1", v.addr) }, "g/1", prompt("x", 1, false), 412},
		{"leaving", fast("e"), func(v *vm) { v.join(1, 1, 0); v.Leave() }, "g/1", prompt("x", 1, false), 503},
		{"loading", loading, func(v *vm) { v.join(1, 1, 0) }, "g/1", prompt("x", 1, false), 503},
		{"other model", fast("e"), func(v *vm) { v.join(1, 1, 0) }, "g/1", `{"model":"n","messages":[{}]}`, 404},
		{"other version", fast("e"), func(v *vm) { v.join(1, 1, 0) }, "g/1", `{"model":"m@2","messages":[{}]}`, 404},
		{"other adapter", fast("e"), func(v *vm) { v.join(1, 1, 0) }, "g/1", `{"model":"m+b","messages":[{}]}`, 404},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			v := start(t, tt.options)
			tt.prepare(v)
			res, err := v.call(within(t), "POST", "/v1/chat/completions", tt.body,
				engine.HeaderGeneration, tt.tag, "X-Request-Id", "r")
			is.NoErr(err)
			is.NoErr(res.Body.Close())
			is.Equal(res.StatusCode, tt.status)
			is.Equal(res.Header.Get(engine.HeaderNotRun), "true")
			is.Equal(v.Executions("r"), 0)
		})
	}
}

// An adapter and a version that are loaded are served.
func TestServesAdapterAndVersion(t *testing.T) {
	is := is.New(t)
	v := start(t, fast("e"))
	v.join(1, 1, 0)
	body := `{"model":"m+a@1","messages":[{"role":"user","content":"x"}]}`
	got, err := content(v.chat(within(t), "r", body))
	is.NoErr(err)
	is.Equal(len(ExpectedTokens([]byte(body))), DefaultTokens)
	is.True(got != "")
}

// A leaving endpoint refuses new requests and finishes those that it has.
func TestLeavingFinishesItsRequests(t *testing.T) {
	is := is.New(t)
	o := fast("e")
	o.TokensPerSecond = 200
	v := start(t, o)
	v.join(1, 1, 0)
	body := prompt("x", 40, true)
	res, err := v.chat(within(t), "r", body) // the headers come once it runs
	is.NoErr(err)
	is.NoErr(v.client.Leave(context.Background(), v.addr))
	got := readEvents(res, nil)
	is.NoErr(got.err)
	is.True(got.whole())
	is.Equal(got.tokens, ExpectedTokens([]byte(body)))
}
