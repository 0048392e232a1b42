package catalog

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

func newTestDocument() Document {
	return Document{
		Version:  3,
		Services: []Service{{Name: "one"}, {Name: "two"}},
		Routes: []Route{
			{Name: "wide", Host: "h", Prefix: "/", Backends: []Backend{{"one", 1}}},
			{Name: "narrow", Host: "h", Prefix: "/a/b/", Backends: []Backend{{"one", 90}, {"two", 10}}},
			{Name: "middle", Host: "h", Prefix: "/a/", Backends: []Backend{{"two", 0}}},
		},
		Organisations: []Organisation{{Name: "org", Keys: []string{"k1", "k2"}, Priority: NoPriority}},
	}
}

func TestLongestPrefixWins(t *testing.T) {
	is := is.New(t)
	c, err := New(newTestDocument())
	is.NoErr(err)
	is.Equal(c.Route("h", "/a/b/c").Name, "narrow")
	is.Equal(c.Route("h", "/a/bc").Name, "middle")
	is.Equal(c.Route("h", "/x").Name, "wide")
	is.Equal(c.Route("other", "/x"), nil)
}

func TestPickBackendFollowsWeights(t *testing.T) {
	is := is.New(t)
	c, err := New(newTestDocument())
	is.NoErr(err)
	r := c.Route("h", "/a/b/")
	is.Equal(r.PickBackend(0), "one")
	is.Equal(r.PickBackend(0.899), "one")
	is.Equal(r.PickBackend(0.9), "two")
	is.Equal(r.PickBackend(0.999), "two")
	is.Equal(c.Route("h", "/a/").PickBackend(0.5), "two") // a total weight of zero selects the first service
}

func TestOrganisationIsFoundByKey(t *testing.T) {
	is := is.New(t)
	c, err := New(newTestDocument())
	is.NoErr(err)
	is.Equal(c.Organisation("k2").Name, "org")
	is.Equal(c.Organisation("k3"), nil)
	is.True(c.RequiresKey())
}

// Guards against a document with a route that has no service or an undeclared one: every
// request on the route would fail. The document is refused, and the last one remains in
// force.
func TestRouteWithoutDeclaredServiceIsRefused(t *testing.T) {
	is := is.New(t)
	doc := newTestDocument()
	doc.Routes[0].Backends[0].Service = "three"
	_, err := New(doc)
	is.True(err != nil)
	doc.Routes[0].Backends = nil
	_, err = New(doc)
	is.True(err != nil)
}

func TestRepeatable(t *testing.T) {
	is := is.New(t)
	is.True(!(&Route{Repeat: Once}).Repeatable())
	is.True((&Route{Repeat: Idempotent}).Repeatable())
	is.True(!(&Route{Repeat: Stream}).Repeatable())
	is.True((&Route{Repeat: Stream, Resumable: true}).Repeatable())
}

func TestInvalidDocumentUnwraps(t *testing.T) {
	is := is.New(t)
	cause := errors.New("x")
	is.True(errors.Is(&InvalidDocumentError{cause}, cause))
}
