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

// The owner of a claim pauses, a second owner claims the VM and orders it into another
// group, and the first resumes and sends an order with its outdated fence. An engine
// that checks fences refuses it with a StaleFenceError; one that does not accepts it.
func TestStaleFence(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(map[bool]string{true: "checked", false: "ignored"}[checks], func(t *testing.T) {
			is := is.New(t)
			o := fastOptions("e")
			o.CheckFence = checks
			v := startEngine(t, o)
			v.join(2, 6, 0)
			old := engine.Order{Verb: engine.VerbJoin, Fence: 5, Boot: v.State().Boot, Group: "old", Generation: 1, Model: "m"}
			res, err := v.client.Order(testContext(t), v.addr, old)
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

// After a restart the same address answers with another boot id and without group,
// fence or streams. An order for the previous boot is refused even though fences are
// not checked.
func TestRestart(t *testing.T) {
	is := is.New(t)
	v := startEngine(t, fastOptions("e"))
	v.join(1, 3, 0)
	_, err := answerText(v.chat(testContext(t), "r1", chatBody("x", 4, false)))
	is.NoErr(err)
	before := v.State()
	v.Restart()
	after, err := v.client.State(testContext(t), v.addr)
	is.NoErr(err)
	is.True(after.Boot != before.Boot)
	is.Equal(after, fleet.EngineState{VM: "e", Boot: after.Boot})
	_, err = v.client.Order(testContext(t), v.addr, engine.Order{Verb: engine.VerbJoin, Fence: 9, Boot: before.Boot, Group: "g"})
	is.True(errors.Is(err, engine.ErrBootMismatch))
	res, err := v.send(testContext(t), "GET", "/v1/streams/r1?from=0", "")
	is.NoErr(err)
	is.NoErr(res.Body.Close())
	is.Equal(res.StatusCode, 404)
}

// An engine reports Loaded after LoadTime. A repeated order does not restart loading,
// and an order to leave the group clears the engine's state.
func TestLoading(t *testing.T) {
	is := is.New(t)
	now := clock.NewManual(0)
	o := fastOptions("e")
	o.Clock, o.LoadTime = now, config.Duration(10*time.Second)
	v := startEngine(t, o)
	v.join(1, 1, 0)
	is.True(!v.State().Loaded)
	now.Advance(9 * time.Second)
	v.join(1, 1, 0)
	is.True(!v.State().Loaded)
	now.Advance(time.Second)
	is.True(v.State().Loaded)
	_, err := v.client.Order(testContext(t), v.addr, engine.Order{Verb: engine.VerbLeave, Fence: 2, Boot: v.State().Boot})
	is.NoErr(err)
	is.Equal(v.State(), fleet.EngineState{VM: "e", Boot: v.State().Boot, Fence: 2})
}

// A request for another generation, or to an engine that is leaving, is loading, does
// not have rank 0 or lacks the model, is refused with the not-run header, and has not
// run.
func TestRefusedRequestsDidNotRun(t *testing.T) {
	loading := fastOptions("e")
	loading.Clock, loading.LoadTime = clock.NewManual(0), config.Duration(time.Second)
	tests := []struct {
		name    string
		options Options
		prepare func(v *vm)
		tag     string
		body    string
		status  int
	}{
		{"other generation", fastOptions("e"), func(v *vm) { v.join(2, 1, 0) }, "g/1", chatBody("x", 1, false), 412},
		{"no group", fastOptions("e"), func(*vm) {}, "g/1", chatBody("x", 1, false), 412},
		{"no generation named", fastOptions("e"), func(v *vm) { v.join(1, 1, 0) }, "", chatBody("x", 1, false), 412},
		{"not rank 0", fastOptions("e"), func(v *vm) { v.join(1, 1, 1, "192.0.2.1:1", v.addr) }, "g/1", chatBody("x", 1, false), 412},
		{"leaving", fastOptions("e"), func(v *vm) { v.join(1, 1, 0); v.Leave() }, "g/1", chatBody("x", 1, false), 503},
		{"loading", loading, func(v *vm) { v.join(1, 1, 0) }, "g/1", chatBody("x", 1, false), 503},
		{"other model", fastOptions("e"), func(v *vm) { v.join(1, 1, 0) }, "g/1", `{"model":"n","messages":[{}]}`, 404},
		{"other version", fastOptions("e"), func(v *vm) { v.join(1, 1, 0) }, "g/1", `{"model":"m@2","messages":[{}]}`, 404},
		{"other adapter", fastOptions("e"), func(v *vm) { v.join(1, 1, 0) }, "g/1", `{"model":"m+b","messages":[{}]}`, 404},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			v := startEngine(t, tt.options)
			tt.prepare(v)
			res, err := v.send(testContext(t), "POST", "/v1/chat/completions", tt.body,
				engine.HeaderGeneration, tt.tag, "X-Request-Id", "r")
			is.NoErr(err)
			is.NoErr(res.Body.Close())
			is.Equal(res.StatusCode, tt.status)
			is.Equal(res.Header.Get(engine.HeaderNotRun), "true")
			is.Equal(v.Executions("r"), 0)
		})
	}
}

// A request that names a loaded adapter and version is served.
func TestServesAdapterAndVersion(t *testing.T) {
	is := is.New(t)
	v := startEngine(t, fastOptions("e"))
	v.join(1, 1, 0)
	body := `{"model":"m+a@1","messages":[{"role":"user","content":"x"}]}`
	got, err := answerText(v.chat(testContext(t), "r", body))
	is.NoErr(err)
	is.Equal(len(ExpectedTokens([]byte(body))), DefaultTokens)
	is.True(got != "")
}

// An engine that starts leaving completes the request that runs.
func TestLeavingEngineCompletesRunningRequest(t *testing.T) {
	is := is.New(t)
	o := fastOptions("e")
	o.TokensPerSecond = 200
	v := startEngine(t, o)
	v.join(1, 1, 0)
	body := chatBody("x", 40, true)
	res, err := v.chat(testContext(t), "r", body) // returns once the request runs
	is.NoErr(err)
	is.NoErr(v.client.Leave(context.Background(), v.addr))
	got := readEvents(res, nil)
	is.NoErr(got.err)
	is.True(got.isComplete())
	is.Equal(got.tokens, ExpectedTokens([]byte(body)))
}
