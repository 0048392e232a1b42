package intake

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/clock"
)

const idleLimit = 15 * time.Second

func ago(d time.Duration) clock.Instant { return clock.Instant(time.Hour - d) }

// Guards against new connections that are refused because clients hold the others without a request, and against
// sound clients that lose theirs.
func TestLongestStalledConnectionGoesFirst(t *testing.T) {
	is := is.New(t)
	infos := []connInfo{
		{waits: forServer, since: ago(9 * time.Second)},
		{waits: forNextRequest, since: ago(idleLimit*4/5 - time.Millisecond)},
		{waits: forReader, since: ago(time.Second)},
		{waits: forFirstByte, since: ago(10 * time.Millisecond)},
		{waits: forHead, since: ago(2 * time.Second)},
		{waits: forBody, since: ago(3 * time.Second)},
		{waits: forBody, since: ago(time.Minute), isEvicted: true},
		{waits: forFirstByte, since: ago(time.Second)},
		{waits: forClose, since: ago(200 * time.Millisecond)},
		{waits: forNextRequest, since: ago(13 * time.Second)},
	}
	now := ago(0)
	is.Equal(longestStalled(infos, now, idleLimit), []int{9, 5, 4, 7, 8})
	is.Equal(len(longestStalled(infos[:4], now, idleLimit)), 0)
}

// Guards against small bodies that make room for large ones which stall.
func TestLargestStalledRequestGoesFirst(t *testing.T) {
	is := is.New(t)
	infos := []connInfo{
		{waits: forBody, since: ago(time.Second), held: 1000},
		{waits: forBody, since: ago(time.Second), held: 4 << 20},
		{waits: forBody, since: ago(time.Millisecond), held: 8 << 20}, // still arrives
		{waits: forServer, since: ago(time.Second), held: 4 << 20},
		{waits: forHead, since: ago(time.Second), held: 16 << 10},
		{waits: forFirstByte, since: ago(time.Second)},
	}
	is.Equal(largestStalled(infos, ago(0)), []int{1, 4, 0})
}
