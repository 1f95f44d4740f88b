#include <assert.h>
#include <errno.h>
#include <fcntl.h>
#include <sodium.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "savoryledge/transport/key.h"

enum {
    KEY_DIGITS = SL_KEY_BYTES * 2,
    FILE_MAX_BYTES = KEY_DIGITS + 3,
};

static const char ID_LABEL[] = "savoryledge key id";
static const char TAG_LABEL[] = "savoryledge datagram tag";

void
SlKey_FromSecret(const uint8_t secret[SL_KEY_BYTES], struct SlKey *key)
{
    uint8_t digest[crypto_generichash_BYTES];

    *key = (struct SlKey){.id = 0};
    memcpy(key->secret, secret, SL_KEY_BYTES);
    crypto_generichash(digest, sizeof(digest), (const uint8_t *)ID_LABEL,
                       sizeof(ID_LABEL), secret, SL_KEY_BYTES);
    memcpy(&key->id, digest, sizeof(key->id));
    crypto_generichash(key->tag_key, SL_KEY_TAG_BYTES,
                       (const uint8_t *)TAG_LABEL, sizeof(TAG_LABEL), secret,
                       SL_KEY_BYTES);
}

static enum SlStatus
check_mode(int file, const char *path, struct SlError *error)
{
    struct stat info;

    if (fstat(file, &info) != 0 || !S_ISREG(info.st_mode)) {
        return SlError_Set(error, SL_IO, SL_STEP_SETTINGS, NULL,
                           "%s is not a regular file", path);
    }
    if (info.st_mode & (S_IRWXG | S_IRWXO)) {
        return SlError_Set(error, SL_FORBIDDEN, SL_STEP_SETTINGS, NULL,
                           "%s has mode %04o, which lets others in; "
                           "allowed is 0600 or 0400",
                           path, (unsigned)(info.st_mode & 07777));
    }
    return SL_OK;
}

static enum SlStatus
parse_secret(const char *text, size_t length, const char *path,
             struct SlKey *key, struct SlError *error)
{
    uint8_t secret[SL_KEY_BYTES];
    size_t secret_bytes = 0;

    while (length > 0 &&
           (text[length - 1] == '\n' || text[length - 1] == '\r')) {
        length--;
    }
    if (length != KEY_DIGITS ||
        sodium_hex2bin(secret, sizeof(secret), text, length, NULL,
                       &secret_bytes, NULL) != 0 ||
        secret_bytes != SL_KEY_BYTES) {
        return SlError_Set(error, SL_MALFORMED, SL_STEP_SETTINGS, NULL,
                           "%s does not hold %d hexadecimal digits", path,
                           KEY_DIGITS);
    }
    SlKey_FromSecret(secret, key);
    sodium_memzero(secret, sizeof(secret));
    return SL_OK;
}

enum SlStatus
SlKey_Load(const char *path, struct SlKey *key, struct SlError *error)
{
    char text[FILE_MAX_BYTES + 1];
    int file = open(path, O_RDONLY | O_CLOEXEC);
    enum SlStatus status;
    ssize_t length;

    if (file < 0) {
        return SlError_Set(error, SL_IO, SL_STEP_SETTINGS, NULL,
                           "%s cannot be read: %s", path, strerror(errno));
    }
    status = check_mode(file, path, error);
    length = status == SL_OK ? read(file, text, sizeof(text)) : 0;
    close(file);
    if (status != SL_OK) {
        return status;
    }
    if (length < 0) {
        return SlError_Set(error, SL_IO, SL_STEP_SETTINGS, NULL,
                           "%s cannot be read: %s", path, strerror(errno));
    }
    status = parse_secret(text, (size_t)length, path, key, error);
    sodium_memzero(text, sizeof(text));
    return status;
}

enum SlStatus
SlKey_CreateFile(const char *path, struct SlError *error)
{
    uint8_t secret[SL_KEY_BYTES];
    char text[KEY_DIGITS + 2];
    ssize_t written;
    int file = open(path, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0600);

    if (file < 0) {
        return SlError_Set(error, SL_IO, SL_STEP_OPEN, NULL,
                           "%s cannot be made: %s", path, strerror(errno));
    }
    randombytes_buf(secret, sizeof(secret));
    sodium_bin2hex(text, sizeof(text), secret, sizeof(secret));
    text[KEY_DIGITS] = '\n';
    written = write(file, text, KEY_DIGITS + 1);
    sodium_memzero(secret, sizeof(secret));
    sodium_memzero(text, sizeof(text));
    if (close(file) != 0 || written != KEY_DIGITS + 1) {
        return SlError_Set(error, SL_IO, SL_STEP_OPEN, NULL,
                           "%s cannot be written", path);
    }
    return SL_OK;
}

const struct SlKey *
SlKeyring_Find(const struct SlKeyring *keyring, uint64_t id)
{
    for (uint32_t i = 0; i < keyring->count; i++) {
        if (keyring->items[i].id == id) {
            return &keyring->items[i];
        }
    }
    return NULL;
}
