package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"chervilloom/platform/platformtest"
)

// herd lets a request that crashes the servers that run it, and that may run once, come every few
// seconds, while all nodes are killed twice. From the stable window after it has crashed the third
// server it may reach servers in three more retries.
func herd(l *lab) error {
	const (
		every  = 3400 * time.Millisecond
		length = 46 * time.Second
	)
	for i := range 6 {
		l.fleet.AddService(fmt.Sprintf("i-p%d", i), "plain", "a")
	}
	l.writeDocument(3)
	go l.heartbeats()
	for i := range 6 {
		if _, err := l.startNode(fmt.Sprintf("front-%c-%d", 'a'+i%2, i), string(rune('a'+i%2))); err != nil {
			return err
		}
	}
	for _, n := range l.nodes {
		if err := l.awaitReady(n); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second)
	l.fleet.AddPoisonRequest(platformtest.PoisonRequest{Body: poisonBody, ReplacementDelay: serverBack})
	var (
		all       sync.WaitGroup
		third     time.Time // when the third crash was seen
		startedAt time.Time // when the nodes were last started
		late      int
		began     = time.Now()
		crashes   = func() int { return len(l.fleet.Crashed(poisonBody)) }
	)
	stop := make(chan struct{})
	all.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
				all.Go(func() { l.post(l.nodes[i%6], fmt.Sprintf("sound-%d", i), fmt.Sprintf("/lookup/s%d", i), "sound") })
			}
		}
	})
	kills := 0
	for i := 0; time.Since(began) < length; i++ {
		before, sentAt := crashes(), time.Now()
		id := fmt.Sprintf("poison-%d", i)
		l.post(l.nodes[i%6], id, "/receipt/report", poisonBody)
		runs := l.fleet.Runs(id)
		isLate := !third.IsZero() && sentAt.Sub(third) > stableWindow && sentAt.Sub(startedAt) > stableWindow
		if len(runs) > 0 && isLate {
			late++
		}
		l.note("retry %s ran at [%s], crashes %d, late: %v", id, strings.Join(runs, " "), crashes(), isLate)
		if third.IsZero() && crashes() >= 3 {
			third = time.Now()
		}
		pause := every
		if l.trouble && kills < 2 && crashes() > before && crashes()%2 == 0 {
			kills++
			time.Sleep(1500 * time.Millisecond)
			if err := l.killAll(500 * time.Millisecond); err != nil {
				return err
			}
			startedAt = time.Now()
			pause = 3600 * time.Millisecond
		}
		time.Sleep(pause)
	}
	close(stop)
	all.Wait()
	l.note("crashes %d, kills of all nodes %d, late retries that reached servers %d", crashes(), kills, late)
	if late > 3 {
		l.broken("BUDGET: a request that crashes servers reached them in %d retries later than %v after it had crashed the third", late, stableWindow)
	}
	return nil
}
