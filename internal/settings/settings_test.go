package settings_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"chervilloom/internal/peer"
	"chervilloom/internal/settings"
	"chervilloom/internal/yamlcheck"
)

const validSettings = `
vm: entry-1
availability_zone: baneshwor
ip: 10.0.0.1
listen:
  caller: 10.0.0.1:8080
  operator: 10.0.0.1:8081
  peer: 10.0.0.1:0
platform:
  url: http://10.0.0.9:9000
peer:
  secret: 0123456789abcdef0123456789abcdef
`

func TestDefaults(t *testing.T) {
	is := is.New(t)
	s, err := settings.Parse("node.yaml", []byte(validSettings))
	is.NoErr(err)
	is.Equal(time.Duration(s.Timing.DrainNotice), 3*time.Second)
	is.Equal(s.BodyLimit, settings.ByteSize(4<<20))
	is.Equal(s.Trace.Exporter, "none")
	is.Equal(s.Listen.Peer.Port(), uint16(0))
	secret, err := s.PeerSecret()
	is.NoErr(err)
	is.Equal(len(secret), 32)
}

func TestAllProblemsAreReportedTogether(t *testing.T) {
	is := is.New(t)
	_, err := settings.Parse("node.yaml", []byte("vm: entry-1\nipp: 10.0.0.1\nbody_limit: 4\nlisten: {caller: localhost:80}\n"))
	problems, ok := err.(yamlcheck.Problems)
	is.True(ok)
	lines, remedies := map[string]int{}, map[string]string{}
	for _, p := range problems {
		lines[p.Path], remedies[p.Path] = p.Line, p.Remedy
		is.True(p.Remedy != "")
		is.Equal(p.File, "node.yaml")
	}
	is.Equal(lines["ipp"], 2)
	is.Equal(remedies["ipp"], `write "ip" instead`)
	is.Equal(lines["ip"], 0) // reported only once, as the unknown key
	is.Equal(lines["body_limit"], 3)
	is.Equal(lines["listen.caller"], 4)
	for _, missing := range []string{"availability_zone", "listen.operator", "listen.peer", "platform.url", "peer"} {
		_, reported := lines[missing]
		is.True(reported)
	}
}

func TestLoadChecksReferencedFiles(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	path := filepath.Join(dir, "node.yaml")
	text := validSettings[:len(validSettings)-len("  secret: 0123456789abcdef0123456789abcdef\n")] + "  secret_file: " + filepath.Join(dir, "missing") + "\n"
	is.NoErr(os.WriteFile(path, []byte(text), 0o600))
	_, err := settings.Load(path)
	problems, ok := err.(yamlcheck.Problems)
	is.True(ok)
	is.Equal(len(problems), 1)
	is.Equal(problems[0].Path, "peer.secret_file")
}

// Tests the problems of a file with one error of each kind against the golden
// file. Run "go test -update" to rewrite it and review the changes.
func TestInvalidSettings(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("testdata/wrong.yaml")
	is.NoErr(err)
	_, err = settings.Parse("wrong.yaml", data)
	is.True(err != nil)
	goldie.New(t, goldie.WithNameSuffix(".golden")).Assert(t, "wrong", []byte(err.Error()+"\n"))
}

// Tests that the body limit is at most the maximum that nodes forward to each
// other. With a higher limit a node would serve some longer requests and refuse
// others, depending on where their endpoint is.
func TestBodyLimitMatchesPeerLimit(t *testing.T) {
	is := is.New(t)
	is.Equal(settings.MaxBodyLimit, peer.MaxBodyBytes)
	_, err := settings.Parse("node.yaml", []byte(validSettings+"body_limit: 64MiB\n"))
	is.NoErr(err)
	_, err = settings.Parse("node.yaml", []byte(validSettings+"body_limit: 65MiB\n"))
	problems, ok := err.(yamlcheck.Problems)
	is.True(ok)
	is.Equal(len(problems), 1)
	is.Equal(problems[0].Path, "body_limit")
}
