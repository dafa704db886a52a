package fleet

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"
)

// What VMs exchange is read by builds of other ages while VMs are replaced. A message that is an array may get fields at its end
// in a later build: this one skips them, and has zero values for those that an earlier build does not send. Builds up to
// c669ad0 refuse an array whose length is not theirs, so what they know keeps its length, and what is new stands in fields of
// the digest.

// decodeArray decodes an array of values in order.
func decodeArray(decoder *msgpack.Decoder, fields ...any) error {
	length, err := decoder.DecodeArrayLen()
	if err != nil {
		return err
	}
	for i := range max(length, 0) {
		if i < len(fields) {
			err = decoder.Decode(fields[i])
		} else {
			err = decoder.Skip()
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (m *limitAnnouncement) DecodeMsgpack(decoder *msgpack.Decoder) error {
	return decodeArray(decoder, &m.Target, &m.StartedAt, &m.Limited, &m.PerSecond, &m.AgeMillis, &m.Brittle)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (m *permitMessage) DecodeMsgpack(decoder *msgpack.Decoder) error {
	return decodeArray(decoder, &m.Target, &m.StartedAt, &m.Number, &m.IsAnswer, &m.Positive, &m.Millis, &m.IsTurnedAway)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (m *originMessage) DecodeMsgpack(decoder *msgpack.Decoder) error {
	return decodeArray(decoder, &m.Kind, &m.Attempt, &m.Service, &m.Version, &m.Account, &m.TTLMillis)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (m *poisonMessage) DecodeMsgpack(decoder *msgpack.Decoder) error {
	return decodeArray(decoder, &m.Kind, &m.Target, &m.StartedAt, &m.Request, &m.Features, &m.AgeMillis, &m.RemainingMillis, &m.Failures)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (m *pauseMessage) DecodeMsgpack(decoder *msgpack.Decoder) error {
	return decodeArray(decoder, &m.Target, &m.StartedAt, &m.Address, &m.RemainingMillis, &m.ForCarrier)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (m *unreachableWord) DecodeMsgpack(decoder *msgpack.Decoder) error {
	return decodeArray(decoder, &m.Target, &m.StartedAt, &m.AgeMillis)
}

// checkWhole returns an error unless the bytes hold a whole value. The codec allocates what a stated length needs before it
// reads the elements, so eight bytes could claim all memory; in a whole value, no length exceeds the bytes.
func checkWhole(datagram []byte) error {
	decoder := msgpack.GetDecoder()
	defer msgpack.PutDecoder(decoder)
	decoder.Reset(bytes.NewReader(datagram))
	return decoder.Skip()
}
