package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"chervilloom/platform"
)

const platformSettings = `# written by the platform
node=front-a-1
zone=a
zones.a=r
ip=10.1.0.40
listen.front=10.1.0.40:8227
listen.ready=10.1.0.40:8220
port_range=7340,7355
bootstrap=true
bounds.strict_revoke=true
bounds.revoke_ms=5000
bounds.config_ms=2000
bounds.drain_ms=2000
bounds.grace_s=8
bounds.stall_ms=4000
bounds.retry_budget_ratio=0.2
bounds.budget_slack=130
bounds.budget_window_s=10
bounds.ceiling_over=1.1
bounds.ceiling_window_s=5
platform.address=10.200.1.7:8223
`

// An operator validates the platform's settings file before a node starts with it:
// the summary shows the parsed values, and an error names the key of a wrong value.
func TestCheckAcceptsPlatformSettings(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "local.conf")
	is.NoErr(os.WriteFile(file, []byte(platformSettings), 0o600))
	is.NoErr(checkFile(file))
	s, err := platform.ReadSettings(file)
	is.NoErr(err)
	for _, want := range []string{"front-a-1", "10.1.0.40:8227", "10.200.1.7:8223", "5s"} {
		is.True(strings.Contains(describeSettings(s), want))
	}
	wrong := strings.Replace(platformSettings, "revoke_ms=5000", "revoke_ms=soon", 1)
	is.NoErr(os.WriteFile(file, []byte(wrong), 0o600))
	err = checkFile(file)
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "bounds.revoke_ms"))
}

func TestPlatformSettingsAreDetected(t *testing.T) {
	is := is.New(t)
	is.True(looksLikePlatformSettings([]byte("\n# a comment\nnode=x\n")))
	is.True(!looksLikePlatformSettings([]byte("vm: x\nlisten:\n  clients: a=b\n")))
	is.True(!looksLikePlatformSettings(nil))
}
