package longpoll

import (
	"bytes"
	"encoding/json"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"vetchwood/internal/control"
	"vetchwood/internal/loadshed"
	"vetchwood/internal/lrs"
	"vetchwood/internal/netutil"
	"vetchwood/internal/tables"
)

var (
	proxiesPrefix = []byte("/v1/proxies/")
	tablesSuffix  = []byte("/tables")
	reportsSuffix = []byte("/reports")
)

// handle dispatches a request by its path. It returns a problem if the request is rejected.
func (s *Server) handle(cc *clientConn, r *request) *problem {
	path, query, _ := bytes.Cut(r.Target, []byte("?"))
	if rest, ok := bytes.CutPrefix(path, proxiesPrefix); ok {
		if name, ok := bytes.CutSuffix(rest, tablesSuffix); ok {
			return s.handleProxy(cc, r, name, query, http.MethodGet, s.handlePoll)
		}
		if name, ok := bytes.CutSuffix(rest, reportsSuffix); ok {
			return s.handleProxy(cc, r, name, query, http.MethodPost, s.handleReport)
		}
	}
	switch string(path) {
	case "/v1/tables":
		return s.requireMethod(r, http.MethodGet, func() *problem { return s.handleWatch(cc, r) })
	case "/v1/peers/facts":
		return s.requireMethod(r, http.MethodGet, func() *problem {
			if wait := s.core.Admit(loadshed.PeerQueries, ""); wait > 0 {
				return overloaded(wait)
			}
			s.postQuery(cc, s.core.Ticket(), func(t control.Ticket) any { return control.FactsQuery{Ticket: t} })
			return nil
		})
	}
	return newProblem(http.StatusNotFound,
		"there is /v1/proxies/{proxy}/tables, /v1/proxies/{proxy}/reports and /v1/tables")
}

// postQuery sends the core a request that is not a proxy's poll, and records that its answer is pending.
func (s *Server) postQuery(cc *clientConn, t control.Ticket, in func(control.Ticket) any) {
	cc.ticket, cc.isPoll, cc.proxy = t, false, ""
	s.pendingQueries.Store(t, cc)
	s.core.Post(in(t))
}

// requireMethod calls do if the request has the given method, and otherwise returns a 405 problem.
func (s *Server) requireMethod(r *request, method string, do func() *problem) *problem {
	if string(r.Method) != method {
		prob := newProblem(http.StatusMethodNotAllowed, "%s alone is taken here", method)
		prob.allow = method
		return prob
	}
	return do()
}

// handleProxy checks the proxy's name in the path and the method, and calls do with the unescaped name.
func (s *Server) handleProxy(cc *clientConn, r *request, name, query []byte, method string,
	do func(*clientConn, *request, string, []byte) *problem) *problem {
	proxy := string(name)
	if bytes.IndexByte(name, '%') >= 0 {
		plain, err := url.PathUnescape(proxy)
		if err != nil {
			return newProblem(http.StatusBadRequest, "the path %.60q can't be read", r.Target)
		}
		proxy = plain
	} else if proxy == "" || bytes.IndexByte(name, '/') >= 0 {
		return newProblem(http.StatusNotFound,
			"there is /v1/proxies/{proxy}/tables, /v1/proxies/{proxy}/reports and /v1/tables")
	}
	if len(proxy) > 128 {
		return newProblem(http.StatusNotFound, "a proxy's name has at most 128 bytes")
	}
	return s.requireMethod(r, method, func() *problem { return do(cc, r, proxy, query) })
}

// handlePoll passes a proxy's poll to the core, and writes the answer if the core has one immediately.
func (s *Server) handlePoll(cc *clientConn, r *request, proxy string, query []byte) (prob *problem) {
	q := control.Poll{Ticket: s.core.Ticket(), Origin: cc, Proxy: proxy, WantsDelta: acceptsJSONPatch(r.fieldValue("a-im"))}
	if q.Held, cc.matchAny, prob = parseIfNoneMatch(r.fieldValue("if-none-match")); prob != nil {
		return prob
	}
	q.Wait, cc.hasWaitPreference = parsePreferWait(r.fieldValue("prefer"))
	q.Wait = min(q.Wait, s.limits.Load().MaxWait)
	if zone, ok := bytes.CutPrefix(query, []byte("zone=")); ok && bytes.IndexAny(zone, "&%+;") < 0 {
		q.Zone = string(zone)
	} else if len(query) > 0 {
		params, err := url.ParseQuery(string(query))
		if err != nil {
			return newProblem(http.StatusBadRequest, "the query can't be read: %v", err)
		}
		q.Zone = params.Get("zone")
		if text := params.Get("rate"); text != "" {
			rate, err := strconv.ParseFloat(text, 64)
			if err != nil || math.IsNaN(rate) || rate < 0 || rate > 1e9 {
				return newProblem(http.StatusBadRequest, "rate: %.40q is no number of calls a second", text)
			}
			q.Rate = rate
		}
	}
	// The state is set before the poll is passed on, since another goroutine may answer it immediately: it then waits
	// for the lock of this connection.
	cc.wait, cc.ticket, cc.isPoll, cc.proxy = q.Wait, q.Ticket, true, proxy
	switch a, answered, wait := s.core.Poll(q); {
	case wait > 0:
		cc.ticket = 0
		return overloaded(wait)
	case answered:
		s.writeAnswer(cc, a)
	}
	return nil
}

// handleReport passes a proxy's load report to the core.
func (s *Server) handleReport(cc *clientConn, r *request, proxy string, _ []byte) *problem {
	if !hasJSONBody(r) {
		return newProblem(http.StatusUnsupportedMediaType, "a report is JSON")
	}
	q, err := lrs.Decode(r.body)
	if err != nil {
		return newProblem(http.StatusBadRequest, "%v", err)
	}
	if q.Proxy != "" && q.Proxy != proxy {
		return newProblem(http.StatusBadRequest, "load stats: node.id: %.60q is not the proxy of the path", q.Proxy)
	}
	if !s.budget.HasHeapRoom() {
		return overloaded(5 * time.Second)
	}
	if wait := s.core.Admit(loadshed.Reports, proxy); wait > 0 {
		return overloaded(wait)
	}
	q.Proxy, q.Key = proxy, string(r.Get("idempotency-key"))
	s.postQuery(cc, s.core.Ticket(), func(t control.Ticket) any { q.Ticket = t; return q })
	return nil
}

// handleWatch passes to the core the poll of a watcher: a client that follows the tables without being a proxy.
func (s *Server) handleWatch(cc *clientConn, r *request) (prob *problem) {
	if !s.budget.HasHeapRoom() {
		return overloaded(5 * time.Second)
	}
	if wait := s.core.Admit(loadshed.Watches, ""); wait > 0 {
		return overloaded(wait)
	}
	q := control.Watch{Ticket: s.core.Ticket(), WantsDelta: acceptsJSONPatch(r.fieldValue("a-im"))}
	if q.Held, cc.matchAny, prob = parseIfNoneMatch(r.fieldValue("if-none-match")); prob != nil {
		return prob
	}
	q.Wait, cc.hasWaitPreference = parsePreferWait(r.fieldValue("prefer"))
	q.Wait = min(q.Wait, s.limits.Load().MaxWait)
	cc.wait, cc.ticket, cc.isPoll, cc.proxy = q.Wait, q.Ticket, true, ""
	s.pendingQueries.Store(q.Ticket, cc)
	s.core.Post(q)
	return nil
}

// Answer sends an answer of the core to its client. It is written in a goroutine of its own, so that a client that
// reads slowly delays neither the core nor other clients.
func (s *Server) Answer(a control.Answer) {
	cc, polled := a.Origin.(*clientConn)
	if !polled {
		v, pending := s.pendingQueries.LoadAndDelete(a.Ticket)
		if !pending {
			a.WriteFinished()
			return
		}
		cc = v.(*clientConn)
	}
	netutil.Go(func() {
		cc.mu.Lock()
		defer cc.mu.Unlock()
		if cc.ticket != a.Ticket {
			a.WriteFinished()
			return
		}
		s.writeAnswer(cc, a)
		s.processBuffered(cc)
	})
}

// writeAnswer writes an answer to its connection. The caller holds the connection's lock.
func (s *Server) writeAnswer(cc *clientConn, a control.Answer) {
	if a.Tracker != nil {
		cc.completions = append(cc.completions, a.Tracker)
	}
	tag, base := "", ""
	if a.Doc != nil {
		tag = a.Doc.ETag()
	}
	if a.Base != nil {
		base = a.Base.ETag()
	}
	cc.ticket = 0
	kind := a.Kind
	if kind == control.Full && cc.matchAny || kind == control.Replaced {
		kind = control.Unchanged
	}
	var h *responseHead
	switch kind {
	case control.Unknown:
		s.rejectRequest(cc, newProblem(http.StatusNotFound, "%s", a.Reason))
	case control.Invalid:
		s.rejectRequest(cc, newProblem(http.StatusBadRequest, "%s", a.Reason))
	case control.Busy:
		s.rejectRequest(cc, newProblem(http.StatusServiceUnavailable, "%s", a.Reason))
	case control.FactsReply:
		body, err := json.Marshal(a.Body)
		if err != nil {
			s.rejectRequest(cc, newProblem(http.StatusInternalServerError, "%v", err))
			break
		}
		h := newResponseHead(http.StatusOK, cc.closeAfter)
		h.set("Cache-Control", "no-store")
		h.finish("application/json", len(body))
		s.writeResponse(cc, h, body, cc.closeAfter)
	case control.Accepted:
		h := newResponseHead(http.StatusNoContent, cc.closeAfter)
		h.finish("", 0)
		s.writeResponse(cc, h, nil, cc.closeAfter)
	case control.Unchanged:
		h = newResponseHead(http.StatusNotModified, cc.closeAfter)
	case control.Full:
		h = newResponseHead(http.StatusOK, cc.closeAfter)
	case control.Delta:
		h = newResponseHead(http.StatusIMUsed, cc.closeAfter)
		h.set("IM", instanceManipulation)
		h.set("Delta-Base", base)
	}
	if h != nil {
		if tag != "" {
			h.set("ETag", tag)
		}
		h.set("Cache-Control", "no-store")
		if a.Lease > 0 {
			h.setInt(LeaseHeader, int(a.Lease))
		}
		if cc.hasWaitPreference {
			h.set("Preference-Applied", "wait="+strconv.Itoa(int(cc.wait/1000)))
		}
		var body []byte
		switch kind {
		case control.Full:
			body = a.Doc.JSON()
			h.finish(tables.DocumentMediaType, len(body))
		case control.Delta:
			body = a.Patch
			h.finish(tables.PatchMediaType, len(body))
		default:
			h.finish("", 0)
		}
		s.writeResponse(cc, h, body, cc.closeAfter)
	}
}
