package links

import (
	"os"
	"testing"

	"chervilloom/internal/testkit"
)

func TestMain(m *testing.M) { os.Exit(testkit.RunExclusively(m.Run)) }
