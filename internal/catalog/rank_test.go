package catalog

import (
	"testing"

	"github.com/matryer/is"
)

// rankedDocument returns a document with an engine service and two streams of the given ranks.
func rankedDocument(first, second int) Document {
	return Document{
		Services: []Service{{Name: "engines", Engine: &Engine{}}, {Name: "plain"}},
		Routes: []Route{
			{Name: "a", Host: "h", Prefix: "/a/", Repeat: Stream, Priority: first, Backends: []Backend{{"engines", 1}}},
			{Name: "b", Host: "h", Prefix: "/b/", Repeat: Stream, Priority: second, Backends: []Backend{{"engines", 1}}},
			{Name: "c", Host: "h", Prefix: "/c/", Repeat: Idempotent, Priority: 7, Backends: []Backend{{"plain", 1}}},
		},
		Organisations: []Organisation{{Name: "org", Keys: []string{"k"}, Priority: NoPriority}},
	}
}

// Guards against ranks taking effect where all streams of a service have the same one.
func TestRanksDifferOnlyWhereStreamsDo(t *testing.T) {
	is := is.New(t)
	c, err := New(rankedDocument(1, 1))
	is.NoErr(err)
	is.Equal(c.Ranks("engines"), []int{1})
	is.True(!c.HasRankedRoutes("engines"))
	c, err = New(rankedDocument(2, 0))
	is.NoErr(err)
	is.Equal(c.Ranks("engines"), []int{0, 2})
	is.True(c.HasRankedRoutes("engines"))
	is.Equal(c.Ranks("plain"), nil)
}

// Guards against an organisation's rank being ignored.
func TestOrganisationsRankReplacesTheRoutes(t *testing.T) {
	is := is.New(t)
	doc := rankedDocument(1, 1)
	doc.Organisations = append(doc.Organisations, Organisation{Name: "urgent", Keys: []string{"u"}, Priority: 0})
	c, err := New(doc)
	is.NoErr(err)
	is.Equal(c.Ranks("engines"), []int{0, 1})
	is.True(!c.HasRankedRoutes("engines"))
	is.Equal(c.Route("h", "/a/").Rank(c.Organisation("u")), 0)
	is.Equal(c.Route("h", "/a/").Rank(c.Organisation("k")), 1)
	is.Equal(c.Route("h", "/a/").Rank(nil), 1)
}

// Guards against a rank out of range deciding anything.
func TestInvalidRankDisablesRanks(t *testing.T) {
	is := is.New(t)
	for _, invalid := range []int{-2, 10} {
		c, err := New(rankedDocument(0, invalid))
		is.NoErr(err)
		is.True(!c.HasRankedRoutes("engines"))
		is.Equal(c.InvalidRanks(), []string{"engines"})
	}
}
