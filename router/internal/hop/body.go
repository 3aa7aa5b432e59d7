package hop

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"

	"github.com/juju/errors"

	"snipetally.example/coordination/response"
)

// newBody returns the body of a response on a connection, which ends by its length, its chunks or
// the connection. Reads return io.EOF only at the end of a complete body.
func newBody(c *conn, head *http.Response, method string, write *requestWrite) io.ReadCloser {
	switch {
	case method == http.MethodHead, head.StatusCode == http.StatusNoContent, head.StatusCode == http.StatusNotModified:
		return http.NoBody
	case len(head.TransferEncoding) > 0:
		return io.NopCloser(&chunkedBody{conn: c, chunks: httputil.NewChunkedReader(c.reader)})
	case head.ContentLength >= 0:
		return io.NopCloser(&sizedBody{limited: io.LimitedReader{R: c.reader, N: head.ContentLength}})
	}
	return io.NopCloser(&unframedBody{conn: c, write: write})
}

// sizedBody is a body with a length.
type sizedBody struct{ limited io.LimitedReader }

// Read implements io.Reader.
func (b *sizedBody) Read(p []byte) (int, error) {
	if b.limited.N == 0 {
		return 0, io.EOF
	}
	n, err := b.limited.Read(p)
	if b.limited.N == 0 {
		return n, io.EOF
	}
	return n, noEOF(err)
}

// chunkedBody is a body in chunks, with a trailer that is checked and dropped.
type chunkedBody struct {
	conn   *conn
	chunks io.Reader
	ended  bool
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	n, err := b.chunks.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err //nolint:wrapcheck // Response.Read says what is read.
	}
	if err := b.readTrailer(); err != nil {
		return n, err
	}
	b.ended = true
	return n, io.EOF
}

// readTrailer reads the trailer, which ends the body.
func (b *chunkedBody) readTrailer() error {
	var trailer response.Trailer
	for {
		line, err := readLine(b.conn.reader)
		if err != nil {
			return err
		}
		complete, err := trailer.AddLine(line)
		if err != nil {
			return fmt.Errorf("check trailer: %w", err)
		}
		if complete {
			return nil
		}
	}
}

// unframedBody is a body that ends with its connection.
type unframedBody struct {
	conn  *conn
	write *requestWrite
}

// Read implements io.Reader.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.conn.reader.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err //nolint:wrapcheck // Response.Read says what is read.
	}
	if err := b.write.delivered(b.conn); err != nil {
		return n, fmt.Errorf("body that ends with its connection: %w", err)
	}
	return n, io.EOF
}
