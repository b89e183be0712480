package peer

import (
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/samphirequay/samphirequay/core/id"
)

// frameOverhead is the maximum size that a frame adds to its body, in bytes.
const frameOverhead = 16

// helloVersion is the version of the frame format.
const helloVersion = 1

// hello is the first item on a one-way stream.
type hello struct {
	_           struct{} `cbor:",toarray"`
	Version     uint8
	Incarnation id.Incarnation
}

// frame is one message. The body is a byte string, so that the end of a frame is
// found without decoding the body.
type frame struct {
	_    struct{} `cbor:",toarray"`
	Kind Kind
	Body []byte
}

// Encode returns the CBOR encoding of a message, as Send uses it.
func Encode(msg any) ([]byte, error) {
	body, err := cbor.Marshal(msg)
	if err != nil {
		return nil, eris.Wrapf(err, "peer: encode %T", msg)
	}
	return body, nil
}

// Decode decodes a body into the message that msg points to.
func Decode(body []byte, msg any) error {
	if err := cbor.Unmarshal(body, msg); err != nil {
		return eris.Wrapf(err, "peer: decode %T", msg)
	}
	return nil
}

// frameReader reads a sequence of CBOR items, each of a bounded size.
type frameReader struct {
	limited *io.LimitedReader
	decoder *cbor.Decoder
	limit   int64
}

func newFrameReader(r io.Reader, maxMessage int) *frameReader {
	limited := &io.LimitedReader{R: r}
	return &frameReader{
		limited: limited,
		decoder: cbor.NewDecoder(limited),
		limit:   int64(maxMessage + frameOverhead),
	}
}

// next reads one item and returns its size in bytes. It returns ErrTooLarge for an
// item over the limit; the decoder has then read at most twice the limit.
func (f *frameReader) next(item any) (int, error) {
	f.limited.N = f.limit
	before := f.decoder.NumBytesRead()
	err := f.decoder.Decode(item)
	if err == nil {
		return f.decoder.NumBytesRead() - before, nil
	}
	if f.limited.N <= 0 {
		return 0, eris.Wrapf(ErrTooLarge, "item exceeds %d bytes", f.limit)
	}
	return 0, err
}

// readBounded reads r to its end. It returns ErrTooLarge if that exceeds the limit.
func readBounded(r io.Reader, maxMessage int) ([]byte, error) {
	limit := int64(maxMessage + frameOverhead)
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, eris.Wrapf(ErrTooLarge, "stream over %d bytes", limit)
	}
	return data, nil
}
