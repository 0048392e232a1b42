package console

import (
	"net/http"
	"strconv"
	"strings"

	"chervilloom/internal/config"
	"chervilloom/internal/yamlcheck"
)

// draft is a document that an operator edits, and the revision that it was
// edited from. It travels in the forms.
type draft struct {
	Base uint64
	Text string
}

// readDraft returns the draft in a form. Browsers end the lines of what they
// send with CR LF whatever they were given.
func readDraft(r *http.Request) (draft, error) {
	base, err := strconv.ParseUint(r.PostForm.Get("base"), 10, 64)
	if err != nil {
		return draft{}, err
	}
	return draft{Base: base, Text: strings.ReplaceAll(r.PostForm.Get("draft"), "\r\n", "\n")}, nil
}

// HasComments reports whether the text may hold comments, which are lost when a
// form writes it anew.
func (d draft) HasComments() bool {
	for line := range strings.Lines(d.Text) {
		if strings.HasPrefix(strings.TrimSpace(line), "#") || strings.Contains(line, " #") {
			return true
		}
	}
	return false
}

// checked is a document as far as it can be read.
type checked struct {
	document  *config.Document
	decodable bool // every value was read; the document may be wrong all the same
	problems  yamlcheck.Problems
}

func check(text string) checked {
	d := &config.Document{}
	_, undecoded := yamlcheck.Decode("", []byte(text), d)
	c := checked{document: d, decodable: len(undecoded) == 0}
	_, err := config.Parse("", []byte(text))
	c.problems = problemsOf(err)
	return c
}

// problemsOf returns the problems that err holds.
func problemsOf(err error) yamlcheck.Problems {
	if err == nil {
		return nil
	}
	if ps, ok := err.(yamlcheck.Problems); ok {
		return ps
	}
	return yamlcheck.Problems{{Message: err.Error(), Remedy: "write a document that can be read"}}
}
