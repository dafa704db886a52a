package gateway

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"godwitcart/internal/apierror"
	"godwitcart/internal/dispatch"
	"godwitcart/internal/policy"
	"godwitcart/internal/target"
)

// keptBodyBytes is the largest body of a plain call that is kept for a retry.
const keptBodyBytes = 64 << 10

// plain forwards a call to a plain service.
func (g *Gateway) plain(x *exchange) error {
	decision, err := g.decide(x, "", x.r.PathValue("service"))
	if err != nil {
		return err
	}
	service := decision.Service
	if service.Kind != policy.KindPlain {
		return badRequest("service "+service.Name+" runs models", "use /v1/completions or /v1/chat/completions")
	}
	r, err := g.commonRequest(x, decision, service.NonIdempotent || !idempotentMethod(x.r.Method))
	if err != nil {
		return err
	}
	body, err := keepBody(x.r)
	if err != nil {
		return err
	}
	r.Digest = callDigest(x.r, body)
	ctx, record, end := g.begin(x, r)
	defer end()
	call := target.PlainCall{Method: x.r.Method, Path: servicePath(x.r.URL, service.Name), Header: plainHeader(x.r.Header)}
	answer, err := g.options.Dispatcher.Call(ctx, r, record, call, body)
	if err != nil {
		return err
	}
	return forwardAnswer(x, answer)
}

// callDigest identifies a plain call by its method, path and the part of its body that is kept.
func callDigest(r *http.Request, body *body) string {
	digest := xxhash.New()
	_, _ = digest.WriteString(r.Method + " " + r.URL.RequestURI() + "\n")
	_, _ = digest.Write(body.kept)
	return strconv.FormatUint(digest.Sum64(), 16)
}

// idempotentMethod reports whether RFC 9110 defines the method as idempotent.
func idempotentMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions, http.MethodTrace:
		return true
	default:
		return false
	}
}

// servicePath returns the escaped path and query at the target.
func servicePath(address *url.URL, service string) string {
	path := strings.TrimPrefix(address.EscapedPath(), "/services/"+url.PathEscape(service))
	if address.RawQuery != "" {
		path += "?" + address.RawQuery
	}
	return path
}

// plainHeader returns the caller's headers without its API key.
func plainHeader(header http.Header) http.Header {
	forwarded := header.Clone()
	forwarded.Del("Authorization")
	return forwarded
}

// forwardAnswer sends the service's answer to the caller. An answer that breaks off midway breaks
// the caller's connection too, so that the caller does not take it for whole.
func forwardAnswer(x *exchange, answer *dispatch.PlainResponse) error {
	target.CopyAnswerHeaders(x.w.Header(), answer.Header)
	x.w.Header().Set(HeaderRequest, x.id)
	x.w.WriteHeader(answer.StatusCode)
	_, err := io.Copy(flushWriter{w: x.w, control: http.NewResponseController(x.w)}, answer.Body)
	answer.Finish(err)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return nil
}

// flushWriter passes every write on at once, for services that stream.
type flushWriter struct {
	w       io.Writer
	control *http.ResponseController
}

func (f flushWriter) Write(data []byte) (int, error) {
	count, err := f.w.Write(data)
	if err != nil {
		return count, err
	}
	return count, f.control.Flush()
}

// body is the body of a plain call, kept for a retry when it is small.
type body struct {
	kept   []byte
	rest   io.Reader
	length int64
}

// keepBody reads the first keptBodyBytes of a body. What exceeds them is streamed and sent once.
func keepBody(r *http.Request) (*body, error) {
	kept, err := io.ReadAll(io.LimitReader(r.Body, keptBodyBytes))
	if err != nil {
		return nil, apierror.Wrap(err, apierror.KindBadRequest, "the body could not be read", "send the request again")
	}
	b := &body{kept: kept, length: r.ContentLength}
	if len(kept) < keptBodyBytes {
		b.length = int64(len(kept))
		return b, nil
	}
	b.rest = r.Body
	return b, nil
}

// Open implements dispatch.Body.
func (b *body) Open() (io.Reader, bool) {
	if b.rest == nil {
		return bytes.NewReader(b.kept), true
	}
	if b.kept == nil {
		return nil, false
	}
	reader := io.MultiReader(bytes.NewReader(b.kept), b.rest)
	b.kept = nil
	return reader, true
}

// Length implements dispatch.Body.
func (b *body) Length() int64 { return b.length }
