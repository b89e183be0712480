package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"sync"

	"github.com/valyala/fasthttp"

	"github.com/samphirequay/samphirequay/daemon/bytebudget"
)

// A body is kept in segments: a buffer that grows would hold it twice while it is copied,
// and one of the size that the endpoint promises would be held for bytes that never come.
const (
	// firstSegment is the size of the first segment of a body without a length, in bytes;
	// each further one is twice as large, up to maxSegment.
	firstSegment = 4 << 10
	maxSegment   = 64 << 10
)

// errLateAnswerTooLarge reports a late answer to another request that exceeds the limit.
var errLateAnswerTooLarge = errors.New("an answer to another request is too large")

// Body is the whole body of an answer that is not streamed; it belongs to the caller.
func (a *Answer) Body() []byte { return joined(a.segments) }

// Segments are the parts of the whole body of an answer that is not streamed; they belong
// to the caller.
func (a *Answer) Segments() [][]byte { return a.segments }

func joined(segments [][]byte) []byte {
	if len(segments) == 1 {
		return segments[0]
	}
	return bytes.Join(segments, nil)
}

// ReadRest reads the remaining body of a short stream, at most limit bytes. It
// returns an error if the body is longer.
func (a *Answer) ReadRest(ctx context.Context, limit int) ([]byte, error) {
	segments, err := a.readSegments(ctx, limit)
	return joined(segments), err
}

// readBody reads the body of an answer that is not streamed.
func (a *Answer) readBody(ctx context.Context, limit int) error {
	if a.resp.Header.ContentLength() > limit {
		return fasthttp.ErrBodyTooLarge
	}
	segments, err := a.readSegments(ctx, limit)
	a.segments = segments
	return err
}

// readSegments reads the body to its end, at most limit bytes. What it holds is charged to
// the account of ctx, or to one that ends with the answer.
func (a *Answer) readSegments(ctx context.Context, limit int) ([][]byte, error) {
	account := bytebudget.FromContext(ctx)
	if account == nil {
		a.own = a.pool.opts.Budget.Open()
		account = a.own
	}
	r := segmentReader{answer: a, account: account, limit: limit}
	err := r.read(ctx)
	if err != nil {
		r.drop()
		return nil, err
	}
	return r.segments, nil
}

// segmentReader reads one body.
type segmentReader struct {
	answer  *Answer
	account *bytebudget.Account
	limit   int
	// total is how many bytes were read, taken how many the account was charged with.
	total, taken int
	segments     [][]byte
}

func (r *segmentReader) read(ctx context.Context) error {
	for {
		size := r.nextSize()
		if err := r.account.Take(ctx, size, r.answer.until); err != nil {
			return err
		}
		r.taken += size
		segment, err := r.fill(size)
		r.total += len(segment)
		if len(segment) > 0 {
			r.segments = append(r.segments, segment)
		}
		if r.total > r.limit {
			return fasthttp.ErrBodyTooLarge
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// nextSize is the size of the next segment. A body that states a short length takes one
// that it fills.
func (r *segmentReader) nextSize() int {
	size := firstSegment
	if n := len(r.segments); n > 0 {
		size = min(2*cap(r.segments[n-1]), maxSegment)
	}
	if left := r.answer.resp.Header.ContentLength() - r.total; left > 0 && r.total == 0 {
		size = min(left, maxSegment)
	}
	return min(size, r.limit-r.total+1)
}

// droppedSegments holds segments of maxSegment bytes whose answers could not be held. Answers
// without end follow one another faster than the garbage collector runs.
var droppedSegments sync.Pool

// drop gives back what was read of a body that can't be held.
func (r *segmentReader) drop() {
	for _, segment := range r.segments {
		if cap(segment) == maxSegment {
			droppedSegments.Put((*[maxSegment]byte)(segment[:maxSegment]))
		}
	}
	r.segments = nil
	r.account.Give(r.taken)
}

// newSegment returns an empty segment.
func newSegment(size int) []byte {
	if size == maxSegment {
		if dropped, ok := droppedSegments.Get().(*[maxSegment]byte); ok {
			return dropped[:0]
		}
	}
	return make([]byte, 0, size)
}

// fill reads until a segment is full or the body has ended.
func (r *segmentReader) fill(size int) ([]byte, error) {
	segment := newSegment(size)
	for len(segment) < size {
		n, err := r.answer.Read(segment[len(segment):size])
		segment = segment[:len(segment)+n]
		if err != nil {
			return segment, err
		}
	}
	return segment, nil
}

// discardBody reads the body of an answer to another request to its end and discards it.
func (a *Answer) discardBody() error {
	if a.resp.BodyStream() == nil {
		return nil
	}
	limit := int64(a.pool.opts.MaxBodyBytes)
	n, err := io.Copy(io.Discard, io.LimitReader(a.resp.BodyStream(), limit+1))
	if err == nil && n > limit {
		return errLateAnswerTooLarge
	}
	return err
}
