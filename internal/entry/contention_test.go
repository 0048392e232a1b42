package entry

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/catalog"
	"chervilloom/internal/clock"
)

// Guards against contended services being recognised by anything but their ranks and the setting.
func TestContentionFollowsRanksAndSetting(t *testing.T) {
	is := is.New(t)
	doc := catalog.Document{
		Services: []catalog.Service{{Name: "ranked", Engine: &catalog.Engine{}}, {Name: "alike", Engine: &catalog.Engine{}}, {Name: "plain"}},
		Routes: []catalog.Route{
			{Host: "h", Prefix: "/a/", Repeat: catalog.Stream, Priority: 0, Backends: []catalog.Backend{{Service: "ranked", Weight: 1}}},
			{Host: "h", Prefix: "/b/", Repeat: catalog.Stream, Priority: 1, Backends: []catalog.Backend{{Service: "ranked", Weight: 1}, {Service: "alike", Weight: 1}}},
		},
	}
	c, err := catalog.New(doc)
	is.NoErr(err)
	for _, tc := range []struct {
		setting string
		want    [3]bool // ranked, alike, plain
	}{
		{"", [3]bool{true, false, false}},
		{"auto", [3]bool{true, false, false}},
		{"on", [3]bool{true, true, false}},
		{"off", [3]bool{false, false, false}},
	} {
		setting, err := ParseContention(tc.setting)
		is.NoErr(err)
		is.Equal([3]bool{setting.appliesTo(c, "ranked"), setting.appliesTo(c, "alike"), setting.appliesTo(c, "plain")}, tc.want)
	}
	_, err = ParseContention("maybe")
	is.True(err != nil)
}

// Guards against invalid ranks that go unnoticed, or are logged with every read of a version.
func TestInvalidRanksAreLoggedOncePerVersion(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(clock.Instant(time.Hour))
	n := newTestNode(&fakeStore{}, c)
	var out bytes.Buffer
	n.config.log = slog.New(slog.NewTextHandler(&out, nil))
	lines := func(version uint64, rank int) int {
		out.Reset()
		doc := catalog.Document{
			Version: version, Services: []catalog.Service{{Name: "engines", Engine: &catalog.Engine{}}},
			Routes: []catalog.Route{{Host: "h", Prefix: "/", Repeat: catalog.Stream, Priority: rank, Backends: []catalog.Backend{{Service: "engines", Weight: 1}}}},
		}
		for range 3 {
			n.config.confirm(&doc, c.Now())
		}
		return strings.Count(out.String(), "rank is invalid")
	}
	is.Equal([]int{lines(1, 10), lines(2, 10), lines(3, 9)}, []int{1, 1, 0})
}
