package config_test

import (
	"os"
	"testing"

	"github.com/matryer/is"

	"chervilloom/internal/config"
)

func readFile(t testing.TB, path string) []byte {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func TestValidDocumentSurvivesRoundTrip(t *testing.T) {
	is := is.New(t)
	d, err := config.Parse("full.yaml", readFile(t, "testdata/valid/full.yaml"))
	is.NoErr(err)
	out, err := config.Marshal(d)
	is.NoErr(err)
	again, err := config.Parse("again.yaml", out)
	is.NoErr(err)
	is.Equal(again, d)
	is.Equal(len(config.Diff(d, again)), 0)
}

func TestRepeatable(t *testing.T) {
	s := &config.Service{NotRepeatable: []string{"POST /receipts", "DELETE /laps/"}}
	for _, c := range []struct {
		method, path string
		want         bool
	}{
		{"GET", "/receipts", true},
		{"HEAD", "/receipts", true},
		{"POST", "/receipts", false},
		{"post", "/receipts", false},
		{"POST", "/receipts/7", false},
		{"POST", "/receiptsheet", true},
		{"POST", "//receipts", false},
		{"POST", "/status/../receipts", false},
		{"PUT", "/receipts", true},
		{"POST", "/receipts.json?n=1", false},
		{"POST", "/%52eceipts", false},
		{"POST", "/Receipts/", false},
		{"POST", "/receipts-of-others", true},
		{"POST", "/receipt", true},
		{"POST", "/%zz", false},
		{"DELETE", "/laps", false},
		{"DELETE", "/laps/3", false},
		{"POST", "/status", true},
	} {
		t.Run(c.method+" "+c.path, func(t *testing.T) {
			is.New(t).Equal(s.Repeatable(c.method, c.path), c.want)
		})
	}
}
