package config_test

import (
	"fmt"
	"testing"

	"chervilloom/internal/config"
)

// organisationCounts are the sizes of the benchmark documents, which also have
// one model and one group per five organisations.
var organisationCounts = []int{10, 200}

func newDocument(organisations int) *config.Document {
	d := &config.Document{Version: 1, Objective: config.Objective{DowntimeWeight: 1, StrandingWeight: 1}}
	for i := range organisations {
		d.Organisations = append(d.Organisations, config.Organisation{
			Name: fmt.Sprintf("organisation-%d", i), Weight: 1 + i%50, Rate: float64(i),
			KeyHashes: []string{fmt.Sprintf("a%063x", i), fmt.Sprintf("b%063x", i)},
		})
		if i%5 != 0 {
			continue
		}
		name := fmt.Sprintf("model-%d", i)
		d.Models = append(d.Models, config.Model{Name: name, Current: "v2", Versions: []string{"v1", "v2"}, Adapters: []string{"a1", "a2"}})
		d.Groups = append(d.Groups, config.GroupSpec{
			Name: name, Model: name, ModelVer: "v2", Adapters: []string{"a1"}, VMs: 8, Min: 1, Max: 4, OneDomain: true,
		})
	}
	return d
}

func marshal(b *testing.B, d *config.Document) []byte {
	b.Helper()
	out, err := config.Marshal(d)
	if err != nil {
		b.Fatal(err)
	}
	return out
}

func BenchmarkParse(b *testing.B) {
	for _, n := range organisationCounts {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			data := marshal(b, newDocument(n))
			b.SetBytes(int64(len(data)))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := config.Parse("", data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkDiff(b *testing.B) {
	for _, n := range organisationCounts {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			before, after := newDocument(n), newDocument(n)
			after.Organisations[n/2].Weight++
			after.Models = after.Models[:len(after.Models)-1]
			b.ReportAllocs()
			for b.Loop() {
				if len(config.Diff(before, after)) != 2 {
					b.Fatal("want two changes")
				}
			}
		})
	}
}

func BenchmarkRepeatable(b *testing.B) {
	s := &config.Service{NotRepeatable: []string{"POST /receipts", "PUT /laps"}}
	b.ReportAllocs()
	for b.Loop() {
		if s.Repeatable("POST", "/receipts/7") {
			b.Fatal("want a receipt to be not repeatable")
		}
	}
}
