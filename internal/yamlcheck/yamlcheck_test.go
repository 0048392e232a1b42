package yamlcheck_test

import (
	"testing"

	"github.com/matryer/is"

	"chervilloom/internal/yamlcheck"
)

type inner struct {
	Name  string  `yaml:"name"`
	Count int     `yaml:"count"`
	Share float64 `yaml:"share"`
}

type outer struct {
	On    bool     `yaml:"on"`
	Texts []string `yaml:"texts"`
	Inner []inner  `yaml:"inner"`
}

const testDocument = `# a comment
on: true
texts:
  - one
  - 2
inner:
  - name: first
    count: 1.5
  - {name: second, count: 9223372036854775808, share: 1}
`

func TestDecodeReportsAllProblemsAndSetsValidValues(t *testing.T) {
	is := is.New(t)
	var out outer
	source, problems := yamlcheck.Decode("f.yaml", []byte(testDocument), &out)
	is.Equal(len(problems), 3)
	is.Equal(problems[0].Error(), `f.yaml:5:5: texts[1]: the number 2 where text is expected; write text, in quotes when it looks like a number`)
	is.Equal(problems[1].Error(), `f.yaml:8:12: inner[0].count: the number 1.5 where a whole number is expected; write a whole number`)
	is.Equal(problems[2].Path, "inner[1].count")
	is.True(out.On)
	is.Equal(out.Texts[0], "one")
	is.Equal(out.Inner[1], inner{Name: "second", Share: 1})
	is.Equal(source.At("inner[1].share"), yamlcheck.Position{Line: 9, Column: 55})
	is.Equal(source.At("inner[0].share"), source.At("inner[0]")) // not written
}

func TestCheckerOmitsUndecodedValues(t *testing.T) {
	is := is.New(t)
	var out outer
	source, problems := yamlcheck.Decode("f.yaml", []byte(testDocument), &out)
	c := yamlcheck.NewChecker(source, problems)
	c.Addf("inner[0].count", "write 1 or more", "count 0 is too low")
	c.Addf("inner[0].share", "write 1 or more", "share 0 is too low")
	got := c.Problems()
	is.Equal(len(got), 4)
	is.Equal(got[1].Error(), "f.yaml:7:5: inner[0].share: share 0 is too low (not written); write 1 or more")
}

func TestProblemsWithoutFile(t *testing.T) {
	is := is.New(t)
	c := yamlcheck.NewChecker(nil, nil)
	is.NoErr(c.Problems().Err())
	c.Addf("a.b", "write 1", "0 is too low")
	c.Addf("", "write something", "nothing is there")
	is.Equal(c.Problems().Err().Error(), "nothing is there; write something\na.b: 0 is too low; write 1")
}
