import java.lang.reflect.InvocationTargetException;
import java.util.Arrays;

/** Runs the main method of a case, and ends with 2 if it throws. */
public final class RunCase {
    private static final int COULD_NOT_RUN = 2;

    private RunCase() {}

    public static void main(final String[] arguments) throws ReflectiveOperationException {
        try {
            Class.forName(arguments[0])
                    .getMethod("main", String[].class)
                    .invoke(null, (Object) Arrays.copyOfRange(arguments, 1, arguments.length));
        } catch (final InvocationTargetException e) {
            e.getCause().printStackTrace();
            System.exit(COULD_NOT_RUN);
        }
    }
}
