package config_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/config"
)

func TestDiff(t *testing.T) {
	base := func() *config.Document {
		return &config.Document{
			Version: 1,
			Organisations: []config.Organisation{
				{Name: "licensing", KeyHashes: []string{"k1", "k2"}, Weight: 400},
				{Name: "clubs", KeyHashes: []string{"k3"}, Weight: 100},
			},
			Models:    []config.Model{{Name: "reader", Current: "v1", Versions: []string{"v1", "v2"}}},
			Objective: config.Objective{DowntimeWeight: 1},
			Policy:    config.Policy{Lease: config.Duration(6 * time.Second)},
		}
	}
	for _, c := range []struct {
		name   string
		change func(d *config.Document)
		want   []string
	}{
		{"nothing", func(*config.Document) {}, nil},
		{"changed value", func(d *config.Document) { d.Organisations[1].Weight = 200 }, []string{"organisations[clubs].weight: 100 -> 200"}},
		{"changed duration", func(d *config.Document) { d.Policy.Lease = config.Duration(time.Second) }, []string{"policy.lease: 6s -> 1s"}},
		{"replaced key", func(d *config.Document) { d.Organisations[0].KeyHashes = []string{"k1", "k9"} },
			[]string{"organisations[licensing].key_hashes: removed k2", "organisations[licensing].key_hashes: added k9"}},
		{"removed element", func(d *config.Document) { d.Organisations = d.Organisations[:1] },
			[]string{`organisations[clubs]: removed {"name":"clubs","key_hashes":["k3"],"weight":100}`}},
		{"added element", func(d *config.Document) { d.Services = []config.Service{{Name: "receipts"}} },
			[]string{`services[receipts]: added {"name":"receipts"}`}},
		{"renamed element", func(d *config.Document) { d.Models[0].Name = "writer" },
			[]string{`models[reader]: removed {"name":"reader","current":"v1","versions":["v1","v2"]}`, `models[writer]: added {"name":"writer","current":"v1","versions":["v1","v2"]}`}},
		{"different order", func(d *config.Document) {
			d.Organisations[0], d.Organisations[1] = d.Organisations[1], d.Organisations[0]
		}, []string{"organisations: licensing, clubs -> clubs, licensing"}},
		{"changes in two sections", func(d *config.Document) { d.Models[0].Current, d.Objective.StrandingWeight = "v2", 3 },
			[]string{"models[reader].current: v1 -> v2", "objective.stranding_weight: 0 -> 3"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			after := base()
			c.change(after)
			var got []string
			for _, change := range config.Diff(base(), after) {
				got = append(got, change.String())
			}
			is.New(t).Equal(got, c.want)
		})
	}
}

func TestDiffOfNilDocument(t *testing.T) {
	is := is.New(t)
	d := &config.Document{Version: 1}
	is.Equal(len(config.Diff(nil, nil)), 0)
	is.Equal(config.Diff(nil, d)[0].String(), "version: 0 -> 1")
	is.Equal(config.Diff(d, nil)[0].String(), "version: 1 -> 0")
}
