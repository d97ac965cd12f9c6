package sprucelanding.config.records;

import java.lang.reflect.Constructor;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Binder of values to Java records. Binds the fields of a struct to record components by name, and
 * the elements of a list by the element type.
 */
final class RecordBinder {
    /** Value of an optional field that is not given, by type. Fields of other types are null. */
    private static final Map<Class<?>, Object> ABSENT_VALUES =
            Map.of(
                    List.class,
                    List.of(),
                    boolean.class,
                    false,
                    int.class,
                    0,
                    long.class,
                    0L,
                    double.class,
                    0.0);

    private final Faults faults;

    RecordBinder(Faults faults) {
        this.faults = faults;
    }

    /**
     * Binds a value.
     *
     * @param type a record, a number type, boolean, String, or a list of these types
     * @param field path of the value, for faults
     * @return the bound value, or null if the value cannot be bound and faults were added
     */
    Object bind(RecordValue value, Type type, String field) {
        RecordValue chosen = value.resolveDefaults();
        if (type instanceof ParameterizedType listType && listType.getRawType() == List.class) {
            return bindList(chosen, listType.getActualTypeArguments()[0], field);
        }
        Class<?> target = (Class<?>) type;
        if (target.isRecord()) {
            return bindRecord(chosen, target, field);
        }
        if (!(chosen instanceof RecordValue.Scalar scalar)) {
            faults.add(
                    chosen.position(),
                    field + ": no value is given; expected " + chosen.describe());
            return null;
        }
        return bindScalar(scalar, target, field);
    }

    private Object bindScalar(RecordValue.Scalar scalar, Class<?> target, String field) {
        Object value = scalar.value();
        if (value instanceof Double number) {
            if (target == double.class || target == Double.class) {
                return number;
            }
            if (target == int.class || target == Integer.class) {
                return number.intValue();
            }
            if (target == long.class || target == Long.class) {
                return number.longValue();
            }
        }
        if (target == boolean.class && value instanceof Boolean
                || target == String.class && value instanceof String) {
            return value;
        }
        faults.add(
                scalar.position(),
                field + ": expected " + target.getSimpleName() + ", found " + scalar.describe());
        return null;
    }

    private Object bindList(RecordValue value, Type elementType, String field) {
        List<Object> elements = new ArrayList<>();
        if (value instanceof RecordValue.ListValue list) {
            for (RecordValue element : list.elements()) {
                elements.add(bind(element, elementType, field + "[" + elements.size() + "]"));
            }
        } else if (!(value instanceof RecordValue.ListOf)) {
            faults.add(value.position(), field + ": expected a list, found " + value.describe());
        }
        return faults.isEmpty() ? List.copyOf(elements) : elements;
    }

    private Object bindRecord(RecordValue value, Class<?> target, String field) {
        if (!(value instanceof RecordValue.Struct struct)) {
            faults.add(value.position(), field + ": expected a record, found " + value.describe());
            return null;
        }
        RecordComponent[] components = target.getRecordComponents();
        Object[] values = new Object[components.length];
        for (int i = 0; i < components.length; i++) {
            String name = components[i].getName();
            if (struct.isGiven(name)) {
                String path = field.isEmpty() ? name : field + "." + name;
                values[i] = bind(struct.fields().get(name), components[i].getGenericType(), path);
            } else {
                values[i] = ABSENT_VALUES.get(components[i].getType());
            }
        }
        return faults.isEmpty() ? construct(target, values, struct, field) : null;
    }

    private Object construct(
            Class<?> target, Object[] values, RecordValue.Struct struct, String field) {
        try {
            Constructor<?> constructor = target.getDeclaredConstructor(componentTypes(target));
            constructor.setAccessible(true);
            return constructor.newInstance(values);
        } catch (InvocationTargetException e) {
            // The constructor of the record rejected the values.
            faults.add(struct.position(), field + ": " + e.getCause().getMessage());
            return null;
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("cannot create an instance of " + target, e);
        }
    }

    private static Class<?>[] componentTypes(Class<?> target) {
        RecordComponent[] components = target.getRecordComponents();
        Class<?>[] types = new Class<?>[components.length];
        for (int i = 0; i < components.length; i++) {
            types[i] = components[i].getType();
        }
        return types;
    }
}
