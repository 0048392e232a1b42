package logwalk

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const walkLogs = `  1.0 front-1 {"time":"2026-01-01T00:00:01Z","msg":"configuration in force","vm":"front-1","version":3}
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

// A stream was cut because a member of its group was lost. The explanation of the
// request must include the loss, which was logged by the node that runs the groups.
func TestWalkFindsLostMemberOfCutRequest(t *testing.T) {
	is := is.New(t)
	lines, err := Read(strings.NewReader(walkLogs))
	is.NoErr(err)
	ex := ExplainRequest(lines, "r1")
	is.Equal(len(ex.OwnLines), 2)
	var text strings.Builder
	is.NoErr(ex.Print(&text))
	got := text.String()
	is.True(strings.Contains(got, "member e2 is lost"))
	is.True(strings.Contains(got, "version=4"))
	is.True(!strings.Contains(got, "version=3")) // an older line with the same message
	is.True(!strings.Contains(got, "e9"))        // another endpoint
	is.True(!strings.Contains(got, `"r2"`))      // another request
}

const quarantineLogs = `{"time":"2026-01-01T00:00:01Z","msg":"attempt broke off","vm":"front-1","request":"r1","fingerprint":"bad","endpoint":"e1"}
{"time":"2026-01-01T00:00:02Z","msg":"attempt broke off","vm":"front-2","request":"r2","fingerprint":"bad","endpoint":"e2"}
{"time":"2026-01-01T00:00:02Z","msg":"attempt broke off","vm":"front-2","request":"r3","fingerprint":"good","endpoint":"e2"}
{"time":"2026-01-01T00:00:03Z","msg":"request is quarantined","vm":"front-3","fingerprint":"bad","ends":3,"source":"tally"}
{"time":"2026-01-01T00:05:00Z","msg":"request refused","vm":"front-1","request":"r9","fingerprint":"bad","stage":"quarantine"}
`

// A request was refused because its fingerprint was quarantined minutes before, after
// endpoints had failed while running equal requests. The explanation must include these
// failures, which other nodes logged with other ids, but no requests that only used the
// same endpoint.
func TestWalkFindsCauseOfQuarantine(t *testing.T) {
	is := is.New(t)
	lines, err := Read(strings.NewReader(quarantineLogs))
	is.NoErr(err)
	ex := ExplainRequest(lines, "r9")
	is.Equal(len(ex.OwnLines), 1)
	is.Equal(len(ex.RelatedLines), 3)
	var text strings.Builder
	is.NoErr(ex.Print(&text))
	is.True(strings.Contains(text.String(), `"e1"`))
	is.True(strings.Contains(text.String(), "request is quarantined"))
	is.True(!strings.Contains(text.String(), "good"))
}

// Guards against a refusal for a part of the prompt that can't be explained: the attempts that broke
// off belong to other requests.
func TestWalkFindsCauseOfPartQuarantine(t *testing.T) {
	is := is.New(t)
	lines, err := Read(strings.NewReader(`{"time":"2026-01-01T00:00:01Z","msg":"attempt broke off","vm":"front-1","request":"r1","fingerprint":"f1","prompt_parts":["a","bad"],"endpoint":"e1"}
{"time":"2026-01-01T00:00:02Z","msg":"attempt broke off","vm":"front-2","request":"r2","fingerprint":"f2","prompt_parts":["a"],"endpoint":"e2"}
{"time":"2026-01-01T00:00:03Z","msg":"prompt part is quarantined","vm":"front-3","fingerprint":"f3","part":"bad","ends":5}
{"time":"2026-01-01T00:05:00Z","msg":"request refused","vm":"front-1","request":"r9","fingerprint":"f9","part":"bad","stage":"quarantine"}
`))
	is.NoErr(err)
	ex := ExplainRequest(lines, "r9")
	is.Equal(len(ex.RelatedLines), 2)
	is.Equal(ex.RelatedLines[0].Line.Request, "r1")
	is.Equal(ex.RelatedLines[1].Line.Message, "prompt part is quarantined")
}

func TestUnknownRequestHasNoLines(t *testing.T) {
	is := is.New(t)
	lines, err := Read(strings.NewReader(walkLogs))
	is.NoErr(err)
	is.Equal(len(ExplainRequest(lines, "r3").OwnLines), 0)
}

func TestReadDirReadsAllFiles(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	for _, name := range []string{"a.log", "b.log"} {
		is.NoErr(os.WriteFile(filepath.Join(dir, name), []byte(walkLogs), 0o600))
	}
	lines, err := ReadDir(dir)
	is.NoErr(err)
	is.Equal(len(lines), 18)
	_, err = ReadDir(filepath.Join(dir, "none"))
	is.True(err != nil)
}
