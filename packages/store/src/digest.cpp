// SHA-256 by OpenSSL.
#include <sassafrasferry/store/digest.h>

#include <array>

#include <openssl/crypto.h>
#include <openssl/evp.h>

namespace sassafrasferry::store {

namespace {

// Looking an algorithm up by name takes longer than digesting a key.
const EVP_MD *sha256Algorithm()
{
    static const EVP_MD *const fetched = EVP_MD_fetch(nullptr, "SHA256", nullptr);
    return fetched;
}

} // namespace

std::string sha256(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned size = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &size, sha256Algorithm(), nullptr);
    constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    hex.reserve(2 * std::size_t{size});
    for (unsigned i = 0; i < size; ++i) {
        hex += digits[digest[i] >> 4U];
        hex += digits[digest[i] & 15U];
    }
    return hex;
}

bool equalInConstantTime(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace sassafrasferry::store
