package console

import (
	"net/http"
	"strings"

	"chervilloom/internal/fleet"
	"chervilloom/internal/operator"
)

// liveRefreshSeconds is the reload interval of the live overview.
const liveRefreshSeconds = 5

type overviewPage struct {
	Status operator.Status
	Live   bool
}

func (c *console) overview(w http.ResponseWriter, r *http.Request, s session) {
	v := pageView{Title: "Overview"}
	data := overviewPage{Status: c.fleet.Status(), Live: r.URL.Query().Has("live")}
	if data.Live {
		v.Refresh = liveRefreshSeconds
	}
	v.Data = data
	c.render(w, http.StatusOK, "overview", v.withSession(s))
}

type explainPage struct {
	Asked       string
	Explanation operator.Explanation
}

func (c *console) explain(w http.ResponseWriter, r *http.Request, s session) {
	p := explainPage{Asked: strings.TrimSpace(r.URL.Query().Get("id"))}
	if p.Asked != "" {
		p.Explanation = c.fleet.Explain(r.Context(), p.Asked)
	}
	c.render(w, http.StatusOK, "explain", pageView{Title: "Explain", Data: p}.withSession(s))
}

type drainPage struct {
	VM        string
	Endpoint  *operator.EndpointStatus // nil: unknown to this node
	Endpoints []operator.EndpointStatus
}

func (c *console) drainForm(w http.ResponseWriter, r *http.Request, s session) {
	c.showDrain(w, s, http.StatusOK, r.URL.Query().Get("vm"), "")
}

func (c *console) showDrain(w http.ResponseWriter, s session, status int, vm, problem string) {
	p := drainPage{VM: strings.TrimSpace(vm), Endpoints: c.fleet.Status().Endpoints}
	for i := range p.Endpoints {
		if p.Endpoints[i].VM == p.VM {
			p.Endpoint = &p.Endpoints[i]
		}
	}
	if p.VM != "" && p.Endpoint == nil && problem == "" {
		status, problem = http.StatusNotFound, "No endpoint with this name is known here. Take one from the list."
	}
	c.render(w, status, "drain", pageView{Title: "Drain an endpoint", Error: problem, Data: p}.withSession(s))
}

func (c *console) drain(w http.ResponseWriter, r *http.Request, s session) {
	vm := strings.TrimSpace(r.PostForm.Get("vm"))
	if r.PostForm.Get("sure") == "" {
		c.showDrain(w, s, http.StatusUnprocessableEntity, vm, "Nothing was done: tick the box to confirm.")
		return
	}
	err := c.fleet.Drain(r.Context(), operator.DrainRequest{VM: fleet.VM(vm)}, s.operator)
	if err != nil {
		c.log.Warn("drain failed", "operator", s.operator, "endpoint", vm, "error", err)
		c.showDrain(w, s, http.StatusBadGateway, vm, err.Error())
		return
	}
	c.log.Info("drain ordered", "operator", s.operator, "endpoint", vm)
	c.render(w, http.StatusOK, "message", pageView{
		Title: "Drain ordered",
		Body:  "The endpoint " + vm + " was told to take no new request; those in progress end. The overview shows it as leaving.",
	}.withSession(s))
}
