package gateway

import (
	"bufio"
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

// maxReplayableBodyBytes bounds the bodies of plain calls that are buffered for a retry.
const maxReplayableBodyBytes = 64 << 10

// copyBufferBytes is the size of the buffer through which a response is copied.
const copyBufferBytes = 32 << 10

// plainCall forwards a call to a plain service and copies its response to the caller. Unless the caller says
// otherwise, the call runs at most once if the service requires it or the method is not idempotent.
func (g *Gateway) plainCall(x *exchange) error {
	decision, err := g.decide(x, "", x.r.PathValue("service"))
	if err != nil {
		return err
	}
	service := decision.Service
	if service.Kind != policy.KindPlain {
		return badRequest("service "+service.Name+" runs models", "use /v1/completions or /v1/chat/completions")
	}
	r, err := g.newBaseRequest(x, decision, service.NonIdempotent || !isIdempotentMethod(x.r.Method))
	if err != nil {
		return err
	}
	if err := x.hold(maxReplayableBodyBytes + copyBufferBytes); err != nil {
		return err
	}
	body, err := readPlainBody(x.r)
	if err != nil {
		return err
	}
	r.Digest = callDigest(x.r, body)
	ctx, record, end := g.startRequest(x, r)
	defer end()
	call := target.PlainCall{Method: x.r.Method, Path: targetPath(x.r.URL, service.Name), Header: forwardedHeader(x.r.Header)}
	response, err := g.options.Dispatcher.Call(ctx, r, record, call, body)
	if err != nil {
		return err
	}
	return writePlainResponse(x, response)
}

// callDigest returns a digest of the method, the URI and the buffered part of the body.
func callDigest(r *http.Request, body *plainBody) string {
	digest := xxhash.New()
	_, _ = digest.WriteString(r.Method + " " + r.URL.RequestURI() + "\n")
	_, _ = digest.Write(body.buffered)
	return strconv.FormatUint(digest.Sum64(), 16)
}

// isIdempotentMethod reports whether RFC 9110 defines the method as idempotent.
func isIdempotentMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions, http.MethodTrace:
		return true
	default:
		return false
	}
}

// targetPath returns the escaped path and query of the call at the target: those of the caller without the prefix
// /services/NAME.
func targetPath(address *url.URL, service string) string {
	path := strings.TrimPrefix(address.EscapedPath(), "/services/"+url.PathEscape(service))
	if address.RawQuery != "" {
		path += "?" + address.RawQuery
	}
	return path
}

// forwardedHeader returns a copy of the caller's headers without the API key.
func forwardedHeader(header http.Header) http.Header {
	forwarded := header.Clone()
	forwarded.Del("Authorization")
	return forwarded
}

// writePlainResponse copies the service's response to the caller. If the body is cut off, the response is not completed, so
// that the caller does not take it for complete; before its first byte, the caller gets an error response.
func writePlainResponse(x *exchange, response *dispatch.PlainResponse) error {
	body := bufio.NewReaderSize(response.Body, copyBufferBytes)
	if _, err := body.Peek(1); err != nil && err != io.EOF {
		return response.Finish(err)
	}
	target.CopyResponseHeaders(x.response.Header(), response.Header)
	x.response.Header().Set(HeaderRequestID, x.requestID)
	if target.EndsWithConnection(response.Response) {
		x.response.BeginUnstated(response.StatusCode)
	} else {
		x.response.Begin(response.StatusCode)
	}
	_, err := io.Copy(x.response, body)
	if err == nil {
		err = x.response.Complete()
	}
	return response.Finish(err)
}

// plainBody is the body of a plain call. It can be replayed for a retry when it is shorter than
// maxReplayableBodyBytes.
type plainBody struct {
	buffered []byte
	// remainder is the part of the body that is not buffered; nil if the whole body is.
	remainder io.Reader
	// length is the body's length in bytes, or -1 if it is unknown.
	length int64
}

// readPlainBody buffers the first maxReplayableBodyBytes of the body. A longer body is streamed and can be sent
// only once.
func readPlainBody(r *http.Request) (*plainBody, error) {
	buffered, err := io.ReadAll(io.LimitReader(r.Body, maxReplayableBodyBytes))
	if err != nil {
		return nil, apierror.Wrap(err, apierror.KindBadRequest, "the body could not be read", "send the request again")
	}
	b := &plainBody{buffered: buffered, length: r.ContentLength}
	if len(buffered) < maxReplayableBodyBytes {
		b.length = int64(len(buffered))
		return b, nil
	}
	b.remainder = r.Body
	return b, nil
}

// Open implements dispatch.Body. It reports false when a streamed body was already opened.
func (b *plainBody) Open() (io.Reader, bool) {
	if b.remainder == nil {
		return bytes.NewReader(b.buffered), true
	}
	if b.buffered == nil {
		return nil, false
	}
	reader := io.MultiReader(bytes.NewReader(b.buffered), b.remainder)
	b.buffered = nil
	return reader, true
}

// Length implements dispatch.Body.
func (b *plainBody) Length() int64 { return b.length }
