// How a handler learns that its caller has gone.
#include "precompiled.h"

#include <sassafrasferry/http/server.h>

namespace sassafrasferry::http {

void Disconnect::onDisconnect(std::function<void()> newCallback)
{
    this->callback = std::move(newCallback);
    if (this->fired && this->callback)
        std::exchange(this->callback, nullptr)();
}

bool Disconnect::happened() const
{
    return this->fired;
}

void Disconnect::fire()
{
    this->fired = true;
    if (this->callback)
        std::exchange(this->callback, nullptr)();
}

} // namespace sassafrasferry::http
