package platform_test

import (
	"net/http/httptest"
	"strconv"
	"testing"

	"chervilloom/internal/platform"
	standin "chervilloom/internal/standin/platform"
)

// BenchmarkCommit measures one conditional write over loopback: with a response, with
// the response lost after the write took effect, and with the request lost before.
func BenchmarkCommit(b *testing.B) {
	for name, faults := range map[string]standin.Faults{
		"answered":                    {NoLimits: true},
		"lost answer, remembered":     {NoLimits: true, LoseAnswers: standin.Always},
		"lost answer, rows only":      {NoLimits: true, LoseAnswers: standin.Always, ForgetAttempts: true},
		"lost request, then answered": {NoLimits: true, DropBefore: 1},
	} {
		b.Run(name, func(b *testing.B) {
			p := standin.New(standin.Options{NoLimits: true})
			srv := httptest.NewServer(p)
			defer srv.Close()
			c := platform.NewClient(srv.URL)
			defer c.Close()
			for i := 0; b.Loop(); i++ {
				p.SetFaults(faults)
				res, err := c.Commit(b.Context(), put(strconv.Itoa(i), "value", 0))
				if err != nil || !res.Committed {
					b.Fatal(res, err)
				}
			}
		})
	}
}
