package io.persimmonreel.daemon.peer;

import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.Arrays;
import java.util.List;

/** Creates records whose fields all have a value. */
final class SampleMessages {
    private SampleMessages() {}

    static <T extends Record> T of(final Class<T> type) throws ReflectiveOperationException {
        final RecordComponent[] components = type.getRecordComponents();
        final Object[] values = new Object[components.length];
        for (int i = 0; i < components.length; i++) {
            values[i] = value(components[i].getGenericType(), components[i].getName());
        }
        final Class<?>[] types =
                Arrays.stream(components).map(RecordComponent::getType).toArray(Class<?>[]::new);
        return type.getDeclaredConstructor(types).newInstance(values);
    }

    private static Object value(final Type type, final String name)
            throws ReflectiveOperationException {
        if (type instanceof ParameterizedType list && list.getRawType() == List.class) {
            return List.of(value(list.getActualTypeArguments()[0], name));
        }
        final Class<?> plain = (Class<?>) type;
        if (plain.isRecord()) {
            return of(plain.asSubclass(Record.class));
        }
        if (plain.isEnum()) {
            return plain.getEnumConstants()[1];
        }
        if (plain == int.class || plain == Integer.class) {
            return 300;
        }
        if (plain == long.class || plain == Long.class) {
            return 5_000_000_000L;
        }
        if (plain == double.class || plain == Double.class) {
            return 2.5;
        }
        if (plain == boolean.class) {
            return true;
        }
        if (plain == byte[].class) {
            return new byte[] {1, -2, 3};
        }
        if (plain == String.class) {
            return name;
        }
        throw new IllegalArgumentException("no sample value of " + type);
    }
}
