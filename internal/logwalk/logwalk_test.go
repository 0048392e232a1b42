package logwalk

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const logs = `  1.0 front-1 {"time":"2026-01-01T00:00:01Z","msg":"configuration in force","vm":"front-1","version":3}
{"time":"2026-01-01T00:00:02Z","msg":"configuration in force","vm":"front-1","version":4}
{"time":"2026-01-01T00:00:05Z","msg":"groups","vm":"front-2","decision":"group z-1 forms for m with e1(200ms) e2(200ms)"}
{"time":"2026-01-01T00:00:06Z","msg":"endpoint is suspect","vm":"front-1","endpoint":"e1","silent_ms":360}
{"time":"2026-01-01T00:00:06.2Z","msg":"order","vm":"front-2","endpoint":"e1","op":"leave","reason":"member e2 is lost"}
{"time":"2026-01-01T00:00:06.3Z","msg":"attempt","vm":"front-1","request":"r1","endpoint":"e1","result":"may_have_run"}
{"time":"2026-01-01T00:00:06.4Z","msg":"request cut","vm":"front-1","request":"r1","tried":["e1"],"cause":"reset"}
{"time":"2026-01-01T00:00:06.4Z","msg":"request done","vm":"front-1","request":"r2","tried":["e1"]}
{"time":"2026-01-01T00:00:06.4Z","msg":"endpoint is suspect","vm":"front-1","endpoint":"e9"}
not json
`

// A stream was cut because a member of its group was lost. The walk finds the
// loss on the node that runs the groups, from the request's id alone.
func TestWalkFindsTheLossBehindACut(t *testing.T) {
	is := is.New(t)
	lines, err := Read(strings.NewReader(logs))
	is.NoErr(err)
	ex := Walk(lines, "r1")
	is.Equal(len(ex.Own), 2)
	var text strings.Builder
	is.NoErr(ex.Print(&text))
	got := text.String()
	is.True(strings.Contains(got, "member e2 is lost"))
	is.True(strings.Contains(got, "version=4"))
	is.True(!strings.Contains(got, "version=3")) // an older fact of the same kind
	is.True(!strings.Contains(got, "e9"))        // another endpoint
	is.True(!strings.Contains(got, `"r2"`))      // another request
}

const quarantineLogs = `{"time":"2026-01-01T00:00:01Z","msg":"attempt broke off","vm":"front-1","request":"r1","fingerprint":"bad","endpoint":"e1"}
{"time":"2026-01-01T00:00:02Z","msg":"attempt broke off","vm":"front-2","request":"r2","fingerprint":"bad","endpoint":"e2"}
{"time":"2026-01-01T00:00:02Z","msg":"attempt broke off","vm":"front-2","request":"r3","fingerprint":"good","endpoint":"e2"}
{"time":"2026-01-01T00:00:03Z","msg":"request is quarantined","vm":"front-3","fingerprint":"bad","ends":3,"source":"tally"}
{"time":"2026-01-01T00:05:00Z","msg":"request refused","vm":"front-1","request":"r9","fingerprint":"bad","stage":"quarantine"}
`

// A caller asks why it was refused, minutes after other nodes found that endpoints end
// when they run its request. The walk finds the ends, under other ids and on other nodes,
// from the id of the refused one; what merely shared an endpoint isn't shown.
func TestWalkFindsWhyARequestIsQuarantined(t *testing.T) {
	is := is.New(t)
	lines, err := Read(strings.NewReader(quarantineLogs))
	is.NoErr(err)
	ex := Walk(lines, "r9")
	is.Equal(len(ex.Own), 1)
	is.Equal(len(ex.Facts), 3)
	var text strings.Builder
	is.NoErr(ex.Print(&text))
	is.True(strings.Contains(text.String(), `"e1"`))
	is.True(strings.Contains(text.String(), "request is quarantined"))
	is.True(!strings.Contains(text.String(), "good"))
}

func TestUnknownRequestHasNoLines(t *testing.T) {
	is := is.New(t)
	lines, err := Read(strings.NewReader(logs))
	is.NoErr(err)
	is.Equal(len(Walk(lines, "r3").Own), 0)
}

func TestReadDirTakesAllFiles(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	for _, name := range []string{"a.log", "b.log"} {
		is.NoErr(os.WriteFile(filepath.Join(dir, name), []byte(logs), 0o600))
	}
	lines, err := ReadDir(dir)
	is.NoErr(err)
	is.Equal(len(lines), 18)
	_, err = ReadDir(filepath.Join(dir, "none"))
	is.True(err != nil)
}
