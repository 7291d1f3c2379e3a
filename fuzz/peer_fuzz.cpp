// Fuzzes peer messages: a message that parses can be serialized and parsed again.
#include <sassafrasferry/messages/peer.pb.h>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    sassafrasferry::messages::Envelope envelope;
    if (!envelope.ParseFromArray(data, static_cast<int>(size)))
        return 0;
    sassafrasferry::messages::Envelope again;
    if (!again.ParseFromString(envelope.SerializeAsString()))
        __builtin_trap();
    return 0;
}
