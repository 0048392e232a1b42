package test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"chervilloom/platform/platformtest"
)

// TestEntrySoakWithSkew does the same while most new connections go to one node after the other, which
// has little processor time for a while: connections that are turned away, requests that are read late
// and kept connections that are closed meet kills, pauses and restarts.
func TestEntrySoakWithSkew(t *testing.T) {
	for i := range *soakSeeds {
		seed := *soakSeed + uint64(i)
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			s := &soak{
				entryFleet: startEntryFleetWith(t, "", (*platformtest.Store).SendEras, "a", "a", "b"),
				rng:        rand.New(rand.NewPCG(seed, 0)), skew: rand.New(rand.NewPCG(seed, 2000)),
			}
			s.run(seed)
		})
	}
}

// injectSkew sends many requests to one node for up to a second, each on a new connection, while the
// node runs for a part of the time only.
func (s *soak) injectSkew(seed uint64) {
	s.mu.Lock()
	n := s.nodes[s.skew.IntN(len(s.nodes))]
	s.mu.Unlock()
	quota := []cpuQuota{finestQuota, coarseQuota}[s.skew.IntN(2)]
	duration := time.Duration(200+s.skew.IntN(800)) * time.Millisecond
	rate, name := 200+s.skew.IntN(1500), s.skew.Uint64()
	s.faults = append(s.faults, fmt.Sprintf("%s %d requests a second at %s for %v, which runs for %v of %v",
		time.Now().Format(time.TimeOnly), rate, n.name, duration, quota.run, quota.period))
	lift := quota.impose(s.t, n.process)
	began := time.Now()
	// The pause paces the load, which does not wait for answers.
	for sent := 0; time.Since(began) < duration; time.Sleep(time.Millisecond) {
		for ; sent < int(time.Since(began).Seconds()*float64(rate)); sent++ {
			id := fmt.Sprintf("%s.s%d-skew%d-%d", callerID(n), seed, name, sent)
			path, maxRuns := "/lookup/"+id, 3
			if s.skew.IntN(2) == 0 {
				path, maxRuns = "/receipt/"+id, 1
			}
			s.bursts.Go(func() { s.checkCallOnNewConnection(n, path, id, maxRuns) })
		}
	}
	lift()
	s.resume(n)
}

// checkCallOnNewConnection does the same as checkCall on a connection of its own. The client waits for a
// second.
func (s *soak) checkCallOnNewConnection(n *entryNode, path, id string, maxRuns int) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(s.request(ctx, n, "POST", path, id, "", map[string]string{"X-Deadline-Ms": "1000"}))
	code, body := 0, []byte(nil)
	if err == nil {
		defer resp.Body.Close()
		code = resp.StatusCode
		body, err = io.ReadAll(resp.Body)
	}
	s.checkCallAnswer(n, path, id, maxRuns, code, string(body), err)
}
