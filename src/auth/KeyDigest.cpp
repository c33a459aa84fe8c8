#include "dotterel/auth/KeyDigest.h"

#include <array>
#include <sodium.h>

namespace dotterel {

namespace {

constexpr auto KeyBytes = std::size_t{24};

auto asBytes(const std::string &Text) -> const unsigned char * {
  return reinterpret_cast<const unsigned char *>(Text.data());
}

} // namespace

auto generateKey() -> std::string {
  auto RandomBytes = std::array<unsigned char, KeyBytes>{};
  randombytes_buf(RandomBytes.data(), RandomBytes.size());
  constexpr auto Variant = sodium_base64_VARIANT_URLSAFE_NO_PADDING;
  auto Text = std::array<char, sodium_base64_ENCODED_LEN(KeyBytes, Variant)>{};
  sodium_bin2base64(Text.data(), Text.size(), RandomBytes.data(),
                    RandomBytes.size(), Variant);
  return std::string("dp_") + Text.data();
}

auto digestKey(const std::string &Key, const std::string &Secret)
    -> std::string {
  auto SecretHash =
      std::array<unsigned char, crypto_generichash_KEYBYTES_MAX>{};
  crypto_generichash(SecretHash.data(), SecretHash.size(), asBytes(Secret),
                     Secret.size(), nullptr, 0);
  auto Digest = std::array<unsigned char, crypto_generichash_BYTES>{};
  crypto_generichash(Digest.data(), Digest.size(), asBytes(Key), Key.size(),
                     SecretHash.data(), SecretHash.size());
  auto Text = std::array<char, (Digest.size() * 2) + 1>{};
  sodium_bin2hex(Text.data(), Text.size(), Digest.data(), Digest.size());
  return Text.data();
}

} // namespace dotterel
