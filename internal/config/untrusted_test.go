package config_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"chervilloom/internal/config"
)

// Tests that names and paths which YAML parses as another type unless they are
// quoted are unchanged after marshalling and parsing.
func TestAmbiguousScalarsSurviveRoundTrip(t *testing.T) {
	for _, s := range []string{
		"1e5", "0x1f", "0o7", "1_000", "1.10", "1.", "007", "true", "True", "yes", "off", "null", "NULL", "n", "y", "2024-11-01", "nan", "inf", "0b1", "1e", "a.", "a-", "a_",
	} {
		t.Run(s, func(t *testing.T) {
			is := is.New(t)
			d := &config.Document{
				Version:      1,
				Models:       []config.Model{{Name: s, Current: s, Versions: []string{"1", s}, Adapters: []string{s}}},
				Services:     []config.Service{{Name: s, NotRepeatable: []string{"POST /" + s, "POST /:", "PUT /a:", "PATCH /'a'", "DELETE /a,b&*!"}}},
				Objective:    config.Objective{DowntimeWeight: 1},
				FenceChecked: []string{s},
			}
			out, err := config.Marshal(d)
			is.NoErr(err)
			again, err := config.Parse("again.yaml", out)
			if err != nil {
				t.Fatalf("%v\n%s", err, out)
			}
			is.Equal(len(config.Diff(d, again)), 0)
		})
	}
}

// Tests that strings which cannot be marshalled unchanged, or are not valid as
// the name of a model, a VM or in a path, are rejected.
func TestInvalidNamesAreRejected(t *testing.T) {
	for _, s := range []string{
		"", " ", " a", "a ", "a b", "a\tb", "a\nb", "\n", "\u0085", "\u2028", "\ufeff", "\x00", "\x07", "é", "日本", ".nan", ".inf", "? a", "-", "---", "~", "a+b", "a@b", "a/b", "a:b", "#a", "\xff",
	} {
		t.Run(s, func(t *testing.T) {
			is := is.New(t)
			d := &config.Document{Version: 1, Objective: config.Objective{DowntimeWeight: 1}}
			is.NoErr(d.Validate())
			d.FenceChecked = []string{s}
			is.True(d.Validate() != nil)
			d.FenceChecked = nil
			d.Models = []config.Model{{Name: s, Current: "v1", Versions: []string{"v1"}}}
			is.True(d.Validate() != nil)
			d.Models = nil
			d.Services = []config.Service{{Name: "s", NotRepeatable: []string{"POST /a " + s}}}
			is.True(d.Validate() != nil)
		})
	}
}

// Tests that documents for which the YAML library needs minutes are rejected
// before they reach it. One such document would block the node that is asked to
// accept it.
func TestExpensiveDocumentsAreRejected(t *testing.T) {
	const depth = 1 << 19
	for name, text := range map[string]string{
		"flow lists":    strings.Repeat("[", depth),
		"flow mappings": strings.Repeat("{a: ", depth/4),
		"block lists":   strings.Repeat("- ", depth/2),
		"keys":          strings.Repeat("? ", depth/2),
		"tags":          strings.Repeat("!a ", depth/3),
		"anchors":       strings.Repeat("&a ", depth/3),
		"indent":        nestedMappings(1000),
		"empty keys":    strings.Repeat("a:\n", depth/3),
		"empty items":   strings.Repeat("-\n", depth/2),
		"empty flow":    "[" + strings.Repeat(",", depth),
		"question keys": strings.Repeat("? a\n", depth/4),
		"tags below":    strings.Repeat("!a\n", depth/3),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := config.Parse("deep.yaml", []byte(text))
			is.New(t).True(err != nil)
		})
	}
}

func nestedMappings(levels int) string {
	var b strings.Builder
	for i := range levels {
		b.WriteString(strings.Repeat(" ", i) + "a:\n")
	}
	return b.String()
}
