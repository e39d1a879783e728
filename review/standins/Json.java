/** Writes the few JSON forms that the stand-ins need. */
final class Json {
    private Json() {}

    static String text(final String value) {
        return '"' + value.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
    }
}
