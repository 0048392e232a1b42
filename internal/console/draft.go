package console

import (
	"net/http"
	"strconv"
	"strings"

	"chervilloom/internal/config"
	"chervilloom/internal/yamlcheck"
)

// draft is a document that an operator edits, and the revision that the edit
// started from. The forms contain it.
type draft struct {
	Base uint64
	Text string
}

// readDraft returns the draft in a form. It converts the CR LF line ends that
// browsers send to LF.
func readDraft(r *http.Request) (draft, error) {
	base, err := strconv.ParseUint(r.PostForm.Get("base"), 10, 64)
	if err != nil {
		return draft{}, err
	}
	return draft{Base: base, Text: strings.ReplaceAll(r.PostForm.Get("draft"), "\r\n", "\n")}, nil
}

// HasComments reports whether the text may contain comments, which are lost when
// a form rewrites it.
func (d draft) HasComments() bool {
	for line := range strings.Lines(d.Text) {
		if strings.HasPrefix(strings.TrimSpace(line), "#") || strings.Contains(line, " #") {
			return true
		}
	}
	return false
}

// checkedDocument is a decoded document and its problems.
type checkedDocument struct {
	document  *config.Document
	decodable bool // every value was decoded; the document may still be invalid
	problems  yamlcheck.Problems
}

func checkDocument(text string) checkedDocument {
	d := &config.Document{}
	_, undecoded := yamlcheck.Decode("", []byte(text), d)
	c := checkedDocument{document: d, decodable: len(undecoded) == 0}
	_, err := config.Parse("", []byte(text))
	c.problems = problemsOf(err)
	return c
}

// problemsOf returns the problems in err, or err as a single problem.
func problemsOf(err error) yamlcheck.Problems {
	if err == nil {
		return nil
	}
	if ps, ok := err.(yamlcheck.Problems); ok {
		return ps
	}
	return yamlcheck.Problems{{Message: err.Error(), Remedy: "write a document that can be read"}}
}
